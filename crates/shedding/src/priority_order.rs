//! The order in which scans are admitted, which every mixer computes alike: by priority (their value for the
//! work, already reduced for a customer over its share), then first attempts before retries, then by a hash
//! of the scan's content.

use crate::unit_fraction;
use fernglade::{AdmissionRequest, Moment};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Bands of priority, each half as much as the one before: eight of them, as a credit over its customer's
/// share counts a tenth and the platform's credits lie within a factor of ten; each is split into first
/// attempts and retries.
const BANDS: usize = 16;

/// The time constant in microseconds over which offered load counts: some hundred scans of a mixer that has
/// few, and less than a client's timeout after a release.
const OFFERED_DECAY_MICROS: f64 = 10e6;

/// The hash changes after this many microseconds, or the same scans would be rejected throughout an overload.
/// This is longer than a scan and its retries take, so that an admitted scan does not change its position on
/// the way.
const HASH_EPOCH_MICROS: u64 = 10_000_000;

/// The load offered in each band, in parts, decaying. A band begins at the share of the load that lies in the
/// bands before it.
#[derive(Clone, Debug, Default)]
pub struct PriorityOrder {
    offered: [f64; BANDS],
    last_update: Moment,
}

impl PriorityOrder {
    /// Counts a scan and returns its position: from 0, which is shed last, to just under 1. As each band
    /// takes up its share of the offered load, admitting all positions below a share admits that share of the
    /// work.
    pub fn position(&mut self, now: Moment, scan: &AdmissionRequest) -> f64 {
        self.decay(now);
        let band = band(scan.priority, scan.is_retry);
        self.offered[band] += scan.parts.len() as f64;
        let before: f64 = self.offered[..band].iter().sum();
        let total: f64 = self.offered.iter().sum();
        ((before + self.offered[band] * content_fraction(now, scan)) / total.max(f64::MIN_POSITIVE))
            .min(1.0 - f64::EPSILON)
    }

    fn decay(&mut self, now: Moment) {
        let decay = (-now.since(self.last_update).as_f64() / OFFERED_DECAY_MICROS).exp();
        self.offered.iter_mut().for_each(|offered| *offered *= decay);
        self.last_update = self.last_update.max(now);
    }
}

fn band(priority: f64, is_retry: bool) -> usize {
    let halvings = (-priority.max(f64::MIN_POSITIVE).log2()).floor().clamp(0.0, (BANDS / 2 - 1) as f64);
    2 * halvings as usize + usize::from(is_retry)
}

/// Maps a scan's content to a number from 0 to 1: the same at every mixer and for a retry, within one hash
/// epoch.
fn content_fraction(now: Moment, scan: &AdmissionRequest) -> f64 {
    let mut shards: Vec<u32> = scan.parts.iter().map(|part| part.shard).collect();
    shards.sort_unstable();
    let bytes: Vec<u8> = shards.iter().flat_map(|shard| shard.to_le_bytes()).collect();
    unit_fraction(xxh3_64_with_seed(&bytes, now.micros() / HASH_EPOCH_MICROS))
}
