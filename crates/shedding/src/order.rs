//! One order of all scans, which every mixer draws alike: worth for the work first (over a customer's share it is
//! worth less already), retries behind firsts, then a hash of what the scan is about.

use crate::unit;
use fernglade::{AdmissionRequest, Moment};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Worth by halves, eight of them, as a credit over its customer's share is a tenth and the platform's credits lie
/// within a factor of ten; each once for firsts and once for retries.
const BANDS: usize = 16;

/// How long what was offered counts, in microseconds: some hundred scans of a mixer that has few, and less than a
/// client's patience after a release.
const COUNTED: f64 = 10e6;

/// The hash is drawn anew so often, or the same scans would be turned away for as long as it lasts. Longer than a
/// scan and its retries, so that one that was let in does not come to stand elsewhere before it is through.
const DRAWN_EVERY: u64 = 10_000_000;

/// What was offered of each band, in parts, fading; the share that lies before a band is where it begins.
#[derive(Clone, Debug, Default)]
pub struct Order {
    offered: [f64; BANDS],
    at: Moment,
}

impl Order {
    /// Counts a scan in, and says where it stands: from nothing, which goes last, to just under one. As bands take
    /// the share that they are of what is offered, letting in all below a share lets in that share of the work.
    pub fn place(&mut self, now: Moment, knock: &AdmissionRequest) -> f64 {
        self.fade(now);
        let band = band(knock.priority, knock.is_retry);
        self.offered[band] += knock.parts.len() as f64;
        let before: f64 = self.offered[..band].iter().sum();
        let all: f64 = self.offered.iter().sum();
        ((before + self.offered[band] * about(now, knock)) / all.max(f64::MIN_POSITIVE))
            .min(1.0 - f64::EPSILON)
    }

    fn fade(&mut self, now: Moment) {
        let held = (-now.since(self.at).as_f64() / COUNTED).exp();
        self.offered.iter_mut().for_each(|offered| *offered *= held);
        self.at = self.at.max(now);
    }
}

fn band(worth: f64, repeat: bool) -> usize {
    let halves = (-worth.max(f64::MIN_POSITIVE).log2()).floor().clamp(0.0, (BANDS / 2 - 1) as f64);
    2 * halves as usize + usize::from(repeat)
}

/// What it is about, as a number from nothing to one: the same at every mixer, and for a retry, while it holds.
fn about(now: Moment, knock: &AdmissionRequest) -> f64 {
    let mut shards: Vec<u32> = knock.parts.iter().map(|part| part.shard).collect();
    shards.sort_unstable();
    let bytes: Vec<u8> = shards.iter().flat_map(|shard| shard.to_le_bytes()).collect();
    unit(xxh3_64_with_seed(&bytes, now.micros() / DRAWN_EVERY))
}
