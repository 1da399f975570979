//! Reads the responses on a connection to a node of the query API.

use super::http::{Message, Reader};
use super::MAX_BODY_BYTES;

/// Reads responses, and releases them only once everything received was read and is accounted for.
///
/// Responses are told apart by their order alone. Where more arrives than was requested, it is unknown which
/// of them is the surplus: the first may be a late copy of an earlier response. So none of them is released.
pub struct ResponseReader {
    reader: Reader,
    /// Complete responses, while more has been received than read.
    held: Vec<Message>,
}

/// The responses read from a connection's unread bytes.
#[derive(Debug)]
pub struct ResponseBatch {
    /// How many bytes were consumed.
    pub consumed: usize,
    /// The responses that may be used, in order, or why nothing can be read from the connection any more.
    pub responses: Result<Vec<Message>, String>,
    /// Whether a response has begun and is incomplete.
    pub is_mid_response: bool,
}

impl Default for ResponseReader {
    fn default() -> Self {
        Self { reader: Reader::for_responses(MAX_BODY_BYTES), held: Vec::new() }
    }
}

impl ResponseReader {
    /// Reads responses from `unread`. `is_all_received` states that no byte behind these has been received
    /// yet; `expected` is the number of requests that were written whole and have no response.
    pub fn read(&mut self, unread: &[u8], is_all_received: bool, expected: usize) -> ResponseBatch {
        let mut consumed = 0;
        let responses = loop {
            match self.reader.read(&unread[consumed..]) {
                Ok((count, response)) => {
                    consumed += count;
                    match response {
                        Some(response) => self.held.push(response),
                        None => break Ok(()),
                    }
                }
                Err(error) => break Err(format!("{error:?}")),
            }
            if self.held.len() > expected {
                break Ok(());
            }
        };
        let is_mid_response = self.reader.is_mid_message(&unread[consumed..]);
        let arriving = self.held.len() + usize::from(is_mid_response);
        let responses = responses.and_then(|()| match arriving > expected {
            true => Err(format!("more than the {expected} responses requested")),
            false if is_all_received => Ok(std::mem::take(&mut self.held)),
            false => Ok(Vec::new()),
        });
        ResponseBatch { consumed, responses, is_mid_response }
    }

    /// The bytes that are allocated for a response that is still arriving.
    pub fn allocated_bytes(&self) -> usize {
        self.reader.allocated_bytes()
    }

    /// How many steps the parser has taken since this was last called.
    pub fn take_steps(&mut self) -> usize {
        self.reader.take_steps()
    }

    /// The response that is completed by the orderly end of the connection, if any.
    pub fn finish(&mut self) -> Option<Message> {
        self.reader.finish()
    }
}

#[cfg(test)]
mod tests;
