//! The process: instances and numbered lists, one reply to each batch.

use crate::instance::{Entry, Instance};
use crate::wire::{Batch, Fields, Malformed, Reply};
use fernglade::Moment;
use std::collections::BTreeMap;
use std::io::{Read, Write};

#[derive(Default)]
struct Process {
    instances: BTreeMap<u16, Instance>,
    lists: BTreeMap<u16, Vec<Entry>>,
    selected: Option<u16>,
    reply: Reply,
}

/// Answers batches until the input ends.
pub fn serve(mut input: impl Read, mut output: impl Write) -> Result<(), Malformed> {
    let mut process = Process::default();
    while let Some(batch) = Batch::read(&mut input)? {
        let now = Moment::from_micros(batch.clock);
        process.selected = None;
        batch.each(|code, fields| process.event(code, fields, now))?;
        process.hand_over(now);
        output.write_all(&process.reply.take())?;
        output.flush()?;
    }
    Ok(())
}

impl Process {
    /// A scan's parts end where any other event begins.
    fn hand_over(&mut self, now: Moment) {
        if let Some(instance) = self.selected.and_then(|i| self.instances.get_mut(&i)) {
            instance.hand_over(now, &mut self.reply);
        }
    }

    fn event(&mut self, code: u8, fields: &[u8], now: Moment) -> Result<(), Malformed> {
        if code != 18 {
            self.hand_over(now);
        }
        match code {
            27 => {
                self.selected = Some(Fields::new(fields, "About").u16()?);
                return Ok(());
            }
            26 => return self.manifest(fields),
            16..=25 => {}
            other => return Err(Malformed(format!("unknown event code {other}"))),
        }
        let number = self.selected.ok_or_else(|| Malformed(format!("event {code} before any About")))?;
        if code == 16 {
            let instance = Instance::start(number, fields, now, &mut self.reply)?;
            self.instances.insert(number, instance);
            return Ok(());
        }
        if code == 25 {
            self.instances.remove(&number);
            return Ok(());
        }
        let no_instance = || Malformed(format!("event {code} for instance {number}, which is not running"));
        let instance = self.instances.get_mut(&number).ok_or_else(no_instance)?;
        match code {
            17 => {
                let mut fields = Fields::new(fields, "PeersKnown");
                let (how, _epoch, list) = (fields.u8()?, fields.u64()?, fields.u16()?);
                let entries = self.lists.get(&list);
                if how > 3 {
                    return Err(Malformed(format!("PeersKnown: unknown kind {how}")));
                }
                if how != 2 && entries.is_none() {
                    return Err(Malformed(format!("PeersKnown: list {list} was never sent")));
                }
                instance.listed(how, entries, now, &mut self.reply);
                Ok(())
            }
            18 => instance.request(fields, now, &mut self.reply),
            20 => instance.result(fields, now, &mut self.reply),
            21 => instance.expired(fields, now, &mut self.reply),
            22 => instance.ring(fields, now, &mut self.reply),
            23 => instance.ping(fields, now, &mut self.reply),
            // Streams and notes between instances: nothing here uses them.
            _ => Ok(()),
        }
    }

    fn manifest(&mut self, fields: &[u8]) -> Result<(), Malformed> {
        let mut fields = Fields::new(fields, "Manifest");
        let (list, count) = (fields.u16()?, fields.u32()?);
        let mut entries = Vec::new();
        for _ in 0..count {
            let mut line = Fields::new(fields.bytes(22)?, "Manifest entry");
            let (_machine, _share, zone) = (line.u16()?, line.f32()?, line.u8()?);
            let (status, cell, wire_id, started) = (line.u8()?, line.u16()?, line.u32()?, line.u64()?);
            entries.push(Entry { wire_id, zone, status, cell, started });
        }
        self.lists.insert(list, entries);
        Ok(())
    }
}
