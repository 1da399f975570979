//! What a mixer tells of itself, in the usual text form (OpenMetrics), by `prometheus-client`.

use prometheus_client::collector::Collector;
use prometheus_client::encoding::{text, DescriptorEncoder, MetricEncoder, NoLabelSet};
use prometheus_client::metrics::MetricType;
use prometheus_client::registry::Registry;
use std::fmt;

/// Where a served scan's time is counted: a tenth more each time, from a millisecond to a minute, in microseconds.
pub fn bucket_bounds_micros() -> impl Iterator<Item = u64> {
    std::iter::successors(Some(1_000.0), |bound| Some(bound * 1.1))
        .map(|bound| bound as u64)
        .take_while(|b| *b <= 60_000_000)
}

/// Scans of one traffic type.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct TrafficTypeMetrics {
    pub name: String,
    pub taken: u64,
    pub served: u64,
    pub refused: u64,
    pub failed: u64,
    pub open: u64,
    /// How many of the served took no longer than each of [`bucket_bounds_micros`], and all of them together, in seconds.
    pub cumulative_counts: Vec<u64>,
    pub total_seconds: f64,
}

#[derive(Clone, Debug, Default, PartialEq)]
pub struct MixerMetrics {
    pub version: String,
    /// Digests of the program and of the operator's file that is in force.
    pub program_digest: String,
    pub settings_digest: String,
    pub incarnation: String,
    pub process_id: u32,
    pub ready: bool,
    /// The operator's file as it is now could not be taken up.
    pub settings_refused: bool,
    /// Bytes resident.
    pub resident_bytes: u64,
    pub searchers_ready: u64,
    pub relays: u64,
    pub traffic_types: Vec<TrafficTypeMetrics>,
}

impl MixerMetrics {
    pub fn encode(&self) -> String {
        let mut registry = Registry::default();
        registry.register_collector(Box::new(MixerCollector(self.clone())));
        let mut text = String::new();
        // Writing to a text does not fail.
        let _ = text::encode(&mut text, &registry);
        text
    }
}

#[derive(Debug)]
struct MixerCollector(MixerMetrics);

type One<'a> = (&'static str, &'a str);

impl Collector for MixerCollector {
    fn encode(&self, mut to: DescriptorEncoder) -> Result<(), fmt::Error> {
        let told = &self.0;
        let process = told.process_id.to_string();
        let who = [
            ("version", told.version.as_str()),
            ("program", told.program_digest.as_str()),
            ("settings", told.settings_digest.as_str()),
            ("incarnation", told.incarnation.as_str()),
            ("process", process.as_str()),
        ];
        gauge(&mut to, "fernglade_mixer_info", "Who this mixer is", &who, 1)?;
        gauge(&mut to, "fernglade_ready", "It serves, and has not been told to end", &[], told.ready.into())?;
        let says = "The operator's file as it is now could not be taken up";
        gauge(&mut to, "fernglade_settings_refused", says, &[], told.settings_refused.into())?;
        gauge(&mut to, "fernglade_memory_bytes", "Bytes resident", &[], told.resident_bytes)?;
        gauge(&mut to, "fernglade_searchers_listed", "Searchers listed ready", &[], told.searchers_ready)?;
        let mut relays =
            to.encode_descriptor("fernglade_relays", "Parts relayed", None, MetricType::Counter)?;
        relays.encode_counter::<NoLabelSet, u64, u64>(&told.relays, None)?;
        let says = "Scans taken since the start: as many as served, refused, failed and open";
        let mut taken = to.encode_descriptor("fernglade_scans_taken", says, None, MetricType::Counter)?;
        told.traffic_types.iter().try_for_each(|of| count(&mut taken, &[("type", &of.name)], of.taken))?;
        let mut ended = to.encode_descriptor(
            "fernglade_scans_ended",
            "Scans by how they left",
            None,
            MetricType::Counter,
        )?;
        for of in &told.traffic_types {
            for (how, number) in [("served", of.served), ("refused", of.refused), ("failed", of.failed)] {
                count(&mut ended, &[("type", &of.name), ("how", how)], number)?;
            }
        }
        let mut open = to.encode_descriptor("fernglade_scans_open", "Scans open", None, MetricType::Gauge)?;
        for of in &told.traffic_types {
            open.encode_family(&[("type", of.name.as_str())])?.encode_gauge(&of.open)?;
        }
        let says = "Seconds from a request to its answer, of those served";
        let mut took = to.encode_descriptor("fernglade_scan_seconds", says, None, MetricType::Histogram)?;
        for of in &told.traffic_types {
            let label = [("type", of.name.as_str())];
            let mut before = 0;
            let mut buckets: Vec<(f64, u64)> = Vec::new();
            for (bound, within) in bucket_bounds_micros().zip(&of.cumulative_counts) {
                buckets.push((bound as f64 / 1e6, within - before));
                before = *within;
            }
            buckets.push((f64::MAX, of.served - before));
            took.encode_family(&label)?.encode_histogram::<NoLabelSet>(
                of.total_seconds,
                of.served,
                &buckets,
                None,
            )?;
        }
        Ok(())
    }
}

fn gauge(to: &mut DescriptorEncoder, name: &str, says: &str, labels: &[One], value: u64) -> fmt::Result {
    let mut metric = to.encode_descriptor(name, says, None, MetricType::Gauge)?;
    if labels.is_empty() {
        metric.encode_gauge(&value)
    } else {
        metric.encode_family(&labels)?.encode_gauge(&value)
    }
}

fn count(metric: &mut MetricEncoder, labels: &[One], value: u64) -> fmt::Result {
    metric.encode_family(&labels)?.encode_counter::<NoLabelSet, u64, u64>(&value, None)
}
