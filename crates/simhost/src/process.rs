//! The process: holds the instances and the numbered lists, and sends one reply for each batch.

use crate::instance::{Instance, ListEntry};
use crate::wire::{Batch, Fields, Reply, WireError};
use fernglade::Moment;
use std::collections::BTreeMap;
use std::io::{Read, Write};

#[derive(Default)]
struct Process {
    instances: BTreeMap<u16, Instance>,
    lists: BTreeMap<u16, Vec<ListEntry>>,
    selected: Option<u16>,
    reply: Reply,
}

/// Handles batches until the input ends.
pub fn serve(mut input: impl Read, mut output: impl Write) -> Result<(), WireError> {
    let mut process = Process::default();
    while let Some(batch) = Batch::read(&mut input)? {
        let now = Moment::from_micros(batch.clock);
        process.selected = None;
        batch.for_each_record(|code, fields| process.handle_event(code, fields, now))?;
        process.submit_scan(now);
        output.write_all(&process.reply.finish())?;
        output.flush()?;
    }
    Ok(())
}

impl Process {
    /// The parts of a scan end where any other event begins.
    fn submit_scan(&mut self, now: Moment) {
        if let Some(instance) = self.selected.and_then(|number| self.instances.get_mut(&number)) {
            instance.submit_scan(now, &mut self.reply);
        }
    }

    fn handle_event(&mut self, code: u8, fields: &[u8], now: Moment) -> Result<(), WireError> {
        if code != 18 {
            self.submit_scan(now);
        }
        match code {
            27 => {
                self.selected = Some(Fields::new(fields, "About").u16()?);
                return Ok(());
            }
            26 => return self.manifest(fields),
            16..=25 => {}
            other => return Err(WireError(format!("unknown event code {other}"))),
        }
        let number = self.selected.ok_or_else(|| WireError(format!("event {code} before any About")))?;
        if code == 16 {
            let instance = Instance::start(number, fields, now, &mut self.reply)?;
            self.instances.insert(number, instance);
            return Ok(());
        }
        if code == 25 {
            self.instances.remove(&number);
            return Ok(());
        }
        let not_running = || WireError(format!("event {code} for instance {number}, which is not running"));
        let instance = self.instances.get_mut(&number).ok_or_else(not_running)?;
        match code {
            17 => {
                let mut fields = Fields::new(fields, "PeersKnown");
                let (kind, _epoch, list) = (fields.u8()?, fields.u64()?, fields.u16()?);
                let entries = self.lists.get(&list);
                if kind > 3 {
                    return Err(WireError(format!("PeersKnown: unknown kind {kind}")));
                }
                if kind != 2 && entries.is_none() {
                    return Err(WireError(format!("PeersKnown: list {list} was never sent")));
                }
                instance.list_update(kind, entries, now, &mut self.reply);
                Ok(())
            }
            18 => instance.request(fields, now, &mut self.reply),
            20 => instance.relay_result(fields, now, &mut self.reply),
            21 => instance.scan_expired(fields, now, &mut self.reply),
            22 => instance.timer(fields, now, &mut self.reply),
            23 => instance.ping_result(fields, now, &mut self.reply),
            // Streams and messages between instances are not used here.
            _ => Ok(()),
        }
    }

    fn manifest(&mut self, fields: &[u8]) -> Result<(), WireError> {
        let mut fields = Fields::new(fields, "Manifest");
        let (list, count) = (fields.u16()?, fields.u32()?);
        let mut entries = Vec::new();
        for _ in 0..count {
            let mut entry = Fields::new(fields.bytes(22)?, "Manifest entry");
            let (_machine, _share, zone) = (entry.u16()?, entry.f32()?, entry.u8()?);
            let (status, cell, wire_id, started) = (entry.u8()?, entry.u16()?, entry.u32()?, entry.u64()?);
            entries.push(ListEntry { wire_id, zone, status, cell, started });
        }
        self.lists.insert(list, entries);
        Ok(())
    }
}
