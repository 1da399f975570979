//! The frames of the simulator's wire protocol: big-endian, without padding, records with their lengths.

use fernglade_fronts::SettingsError;
use std::fmt;
use std::io::{self, Read};

/// An error in the input, with its position.
#[derive(Debug, PartialEq)]
pub struct WireError(pub String);

impl fmt::Display for WireError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl From<io::Error> for WireError {
    fn from(error: io::Error) -> Self {
        WireError(format!("I/O error: {error}"))
    }
}

impl From<SettingsError> for WireError {
    fn from(SettingsError(text): SettingsError) -> Self {
        WireError(text)
    }
}

/// Reads the fields of a record or an entry one after another.
pub struct Fields<'a> {
    rest: &'a [u8],
    context: &'static str,
}

impl<'a> Fields<'a> {
    pub fn new(rest: &'a [u8], context: &'static str) -> Self {
        Self { rest, context }
    }

    pub fn bytes(&mut self, count: usize) -> Result<&'a [u8], WireError> {
        if count > self.rest.len() {
            let (context, left) = (self.context, self.rest.len());
            return Err(WireError(format!(
                "{context}: field of {count} bytes, but only {left} bytes are left"
            )));
        }
        let (field, rest) = self.rest.split_at(count);
        self.rest = rest;
        Ok(field)
    }

    fn fixed<const N: usize>(&mut self) -> Result<[u8; N], WireError> {
        let mut field = [0; N];
        field.copy_from_slice(self.bytes(N)?);
        Ok(field)
    }

    pub fn u8(&mut self) -> Result<u8, WireError> {
        Ok(self.fixed::<1>()?[0])
    }

    pub fn u16(&mut self) -> Result<u16, WireError> {
        Ok(u16::from_be_bytes(self.fixed()?))
    }

    pub fn u32(&mut self) -> Result<u32, WireError> {
        Ok(u32::from_be_bytes(self.fixed()?))
    }

    pub fn u64(&mut self) -> Result<u64, WireError> {
        Ok(u64::from_be_bytes(self.fixed()?))
    }

    pub fn f32(&mut self) -> Result<f32, WireError> {
        Ok(f32::from_be_bytes(self.fixed()?))
    }
}

/// One batch of events.
pub struct Batch {
    pub clock: u64,
    pub body: Vec<u8>,
    pub records: u32,
}

impl Batch {
    /// Reads the next batch; `None` at the end of the input. Memory is allocated as bytes arrive, not as
    /// announced.
    pub fn read(input: &mut impl Read) -> Result<Option<Batch>, WireError> {
        let mut header = Vec::with_capacity(16);
        input.by_ref().take(16).read_to_end(&mut header)?;
        if header.is_empty() {
            return Ok(None);
        }
        let mut fields = Fields::new(&header, "batch header");
        let (clock, length, records) = (fields.u64()?, fields.u32()?, fields.u32()?);
        let mut body = Vec::new();
        input.by_ref().take(u64::from(length)).read_to_end(&mut body)?;
        if body.len() < length as usize {
            let got = body.len();
            return Err(WireError(format!("batch at {clock}: {length} bytes announced, {got} received")));
        }
        Ok(Some(Batch { clock, body, records }))
    }

    /// Passes the code and fields of each record to `handle`, in order.
    pub fn for_each_record(
        &self,
        mut handle: impl FnMut(u8, &[u8]) -> Result<(), WireError>,
    ) -> Result<(), WireError> {
        let clock = self.clock;
        let mut rest = Fields::new(&self.body, "batch");
        for number in 0..self.records {
            let in_record = |WireError(text)| WireError(format!("batch at {clock}, record {number}: {text}"));
            let code = rest.u8().map_err(in_record)?;
            let length = rest.u32().map_err(in_record)?;
            let fields = rest.bytes(length as usize).map_err(in_record)?;
            handle(code, fields).map_err(in_record)?;
        }
        match rest.rest.len() {
            0 => Ok(()),
            left => Err(WireError(format!("batch at {clock}: {left} bytes after the last record"))),
        }
    }
}

/// A reply that is being built.
#[derive(Default)]
pub struct Reply {
    records: u32,
    body: Vec<u8>,
    selected: Option<u16>,
}

impl Reply {
    /// Adds an action of an instance, preceded by the instance's number where it changes.
    pub fn action(&mut self, instance: u16, code: u8, fields: &[&[u8]]) {
        if self.selected != Some(instance) {
            self.selected = Some(instance);
            self.record(29, &[&instance.to_be_bytes()]);
        }
        self.record(code, fields);
    }

    fn record(&mut self, code: u8, fields: &[&[u8]]) {
        let length: usize = fields.iter().map(|f| f.len()).sum();
        self.records += 1;
        self.body.push(code);
        self.body.extend_from_slice(&(length as u32).to_be_bytes());
        fields.iter().for_each(|f| self.body.extend_from_slice(f));
    }

    /// Returns the finished frame and clears the reply.
    pub fn finish(&mut self) -> Vec<u8> {
        let mut frame = Vec::with_capacity(8 + self.body.len());
        frame.extend_from_slice(&self.records.to_be_bytes());
        frame.extend_from_slice(&(self.body.len() as u32).to_be_bytes());
        frame.append(&mut self.body);
        *self = Reply::default();
        frame
    }
}

#[cfg(test)]
mod tests {
    use super::Reply;

    /// The documented reply for two instances, byte for byte.
    #[test]
    fn a_reply_names_each_instance_once_and_counts_its_records() {
        let mut reply = Reply::default();
        reply.action(
            3,
            16,
            &[&0x0006e30c5d3a91c4u64.to_be_bytes(), &0x03124a07u32.to_be_bytes(), &[0, 1, 0x38, 0x80]],
        );
        reply.action(3, 20, &[&0x0087fd7au64.to_be_bytes(), &0x4du32.to_be_bytes()]);
        reply.action(5, 24, &[&17u16.to_be_bytes(), b"two servers known"]);
        let hex: String = reply.finish().iter().map(|byte| format!("{byte:02x}")).collect();
        let documented = "000000050000004c\
            1d000000020003\
            10000000100006e30c5d3a91c403124a0700013880\
            140000000c000000000087fd7a0000004d\
            1d000000020005\
            1800000013001174776f2073657276657273206b6e6f776e";
        assert_eq!(hex, documented);
        assert_eq!(reply.finish(), [0; 8]);
    }
}
