//! The metrics of a mixer, encoded in the OpenMetrics text format by `prometheus-client`.

use prometheus_client::collector::Collector;
use prometheus_client::encoding::{text, DescriptorEncoder, MetricEncoder, NoLabelSet};
use prometheus_client::metrics::MetricType;
use prometheus_client::registry::Registry;
use std::fmt;

/// Upper bounds of the latency histogram's buckets in microseconds: from a millisecond to a minute, each a
/// tenth above the one before.
pub fn bucket_bounds_micros() -> impl Iterator<Item = u64> {
    std::iter::successors(Some(1_000.0), |bound| Some(bound * 1.1))
        .map(|bound| bound as u64)
        .take_while(|b| *b <= 60_000_000)
}

/// Scans of one traffic type. `taken` is the sum of `served`, `refused`, `failed` and `open`.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct TrafficTypeMetrics {
    pub name: String,
    pub taken: u64,
    pub served: u64,
    pub refused: u64,
    pub failed: u64,
    pub open: u64,
    /// For each of [`bucket_bounds_micros`], how many served scans took no longer.
    pub cumulative_counts: Vec<u64>,
    /// Time that all served scans took together.
    pub total_seconds: f64,
}

/// The waits that one limit has caused.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LimitWaits {
    pub limit: &'static str,
    pub count: u64,
    pub total_seconds: f64,
    pub longest_seconds: f64,
}

/// Metrics of this mixer.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct MixerMetrics {
    pub version: String,
    /// Digest of the program's binary.
    pub program_digest: String,
    /// Digest of the operator's file that is in force.
    pub settings_digest: String,
    /// Identifies this run of the program: `{start in Unix milliseconds}-{process id}`.
    pub incarnation: String,
    pub process_id: u32,
    /// The mixer serves, and no shutdown has been requested.
    pub ready: bool,
    /// The operator's file was changed and its present content was refused.
    pub settings_refused: bool,
    pub resident_bytes: u64,
    /// Bytes that the program has allocated, and that it may allocate.
    pub allocated_bytes: u64,
    pub allocatable_bytes: u64,
    /// What was refused for want of memory, and how often.
    pub memory_refusals: Vec<(&'static str, u64)>,
    /// How often each limit made a peer wait.
    pub limit_waits: Vec<LimitWaits>,
    /// Requests refused because their id may have run.
    pub repeated_ids: u64,
    /// Searchers listed as ready.
    pub searchers_ready: u64,
    /// Relays sent since the start.
    pub relays: u64,
    pub traffic_types: Vec<TrafficTypeMetrics>,
}

impl MixerMetrics {
    /// The metrics in the OpenMetrics text format.
    pub fn encode(&self) -> String {
        let mut registry = Registry::default();
        registry.register_collector(Box::new(MixerCollector(self.clone())));
        let mut text = String::new();
        // Writing to a string does not fail.
        let _ = text::encode(&mut text, &registry);
        text
    }
}

#[derive(Debug)]
struct MixerCollector(MixerMetrics);

type Label<'a> = (&'static str, &'a str);

impl Collector for MixerCollector {
    fn encode(&self, mut encoder: DescriptorEncoder) -> Result<(), fmt::Error> {
        let metrics = &self.0;
        let process_id = metrics.process_id.to_string();
        let identity = [
            ("version", metrics.version.as_str()),
            ("program", metrics.program_digest.as_str()),
            ("settings", metrics.settings_digest.as_str()),
            ("incarnation", metrics.incarnation.as_str()),
            ("process", process_id.as_str()),
        ];
        encode_gauge(&mut encoder, "fernglade_mixer_info", "Who this mixer is", &identity, 1)?;
        encode_gauge(
            &mut encoder,
            "fernglade_ready",
            "It serves, and has not been told to end",
            &[],
            metrics.ready.into(),
        )?;
        let help = "The operator's file as it is now could not be taken up";
        encode_gauge(&mut encoder, "fernglade_settings_refused", help, &[], metrics.settings_refused.into())?;
        encode_gauge(&mut encoder, "fernglade_memory_bytes", "Bytes resident", &[], metrics.resident_bytes)?;
        let help = "Bytes allocated by the whole program";
        encode_gauge(&mut encoder, "fernglade_allocated_bytes", help, &[], metrics.allocated_bytes)?;
        let help = "Bytes that may be allocated under the limit on memory, 0 without a limit";
        encode_gauge(&mut encoder, "fernglade_allocatable_bytes", help, &[], metrics.allocatable_bytes)?;
        let help = "What was refused or given up for want of memory";
        let mut refused =
            encoder.encode_descriptor("fernglade_memory_refusals", help, None, MetricType::Counter)?;
        for (what, count) in &metrics.memory_refusals {
            encode_count(&mut refused, &[("what", what)], *count)?;
        }
        encode_limit_waits(&mut encoder, &metrics.limit_waits)?;
        let help = "Requests refused because their id is open or may have run";
        let mut repeated =
            encoder.encode_descriptor("fernglade_repeated_ids", help, None, MetricType::Counter)?;
        repeated.encode_counter::<NoLabelSet, u64, u64>(&metrics.repeated_ids, None)?;
        encode_gauge(
            &mut encoder,
            "fernglade_searchers_listed",
            "Searchers listed ready",
            &[],
            metrics.searchers_ready,
        )?;
        let mut relays =
            encoder.encode_descriptor("fernglade_relays", "Parts relayed", None, MetricType::Counter)?;
        relays.encode_counter::<NoLabelSet, u64, u64>(&metrics.relays, None)?;
        let help = "Scans taken since the start: as many as served, refused, failed and open";
        let mut taken =
            encoder.encode_descriptor("fernglade_scans_taken", help, None, MetricType::Counter)?;
        metrics
            .traffic_types
            .iter()
            .try_for_each(|scans| encode_count(&mut taken, &[("type", &scans.name)], scans.taken))?;
        let mut ended = encoder.encode_descriptor(
            "fernglade_scans_ended",
            "Scans by how they left",
            None,
            MetricType::Counter,
        )?;
        for scans in &metrics.traffic_types {
            for (how, number) in
                [("served", scans.served), ("refused", scans.refused), ("failed", scans.failed)]
            {
                encode_count(&mut ended, &[("type", &scans.name), ("how", how)], number)?;
            }
        }
        let mut open =
            encoder.encode_descriptor("fernglade_scans_open", "Scans open", None, MetricType::Gauge)?;
        for scans in &metrics.traffic_types {
            open.encode_family(&[("type", scans.name.as_str())])?.encode_gauge(&scans.open)?;
        }
        let help = "Seconds from a request to its answer, of those served";
        let mut took =
            encoder.encode_descriptor("fernglade_scan_seconds", help, None, MetricType::Histogram)?;
        for scans in &metrics.traffic_types {
            let label = [("type", scans.name.as_str())];
            let mut previous = 0;
            let mut buckets: Vec<(f64, u64)> = Vec::new();
            for (bound, cumulative) in bucket_bounds_micros().zip(&scans.cumulative_counts) {
                buckets.push((bound as f64 / 1e6, cumulative - previous));
                previous = *cumulative;
            }
            buckets.push((f64::MAX, scans.served - previous));
            took.encode_family(&label)?.encode_histogram::<NoLabelSet>(
                scans.total_seconds,
                scans.served,
                &buckets,
                None,
            )?;
        }
        Ok(())
    }
}

fn encode_limit_waits(encoder: &mut DescriptorEncoder, waits: &[LimitWaits]) -> fmt::Result {
    let help = "How often a limit made a peer wait";
    let mut counts = encoder.encode_descriptor("fernglade_limit_waits", help, None, MetricType::Counter)?;
    for of_limit in waits {
        encode_count(&mut counts, &[("limit", of_limit.limit)], of_limit.count)?;
    }
    let help = "Seconds that peers waited for a limit, together";
    let mut totals =
        encoder.encode_descriptor("fernglade_limit_wait_seconds", help, None, MetricType::Counter)?;
    for of_limit in waits {
        let label = [("limit", of_limit.limit)];
        let mut total = totals.encode_family(&label)?;
        total.encode_counter::<NoLabelSet, f64, u64>(&of_limit.total_seconds, None)?;
    }
    let help = "Seconds of the longest wait for a limit";
    let name = "fernglade_limit_longest_wait_seconds";
    let mut longest = encoder.encode_descriptor(name, help, None, MetricType::Gauge)?;
    for of_limit in waits {
        longest.encode_family(&[("limit", of_limit.limit)])?.encode_gauge(&of_limit.longest_seconds)?;
    }
    Ok(())
}

fn encode_gauge(
    encoder: &mut DescriptorEncoder,
    name: &str,
    help: &str,
    labels: &[Label],
    value: u64,
) -> fmt::Result {
    let mut metric = encoder.encode_descriptor(name, help, None, MetricType::Gauge)?;
    if labels.is_empty() {
        metric.encode_gauge(&value)
    } else {
        metric.encode_family(&labels)?.encode_gauge(&value)
    }
}

fn encode_count(metric: &mut MetricEncoder, labels: &[Label], value: u64) -> fmt::Result {
    metric.encode_family(&labels)?.encode_counter::<NoLabelSet, u64, u64>(&value, None)
}
