//! Splits a stream of server-sent events into events and leaves their bytes unchanged.
//!
//! Lines end with a line feed. A carriage return is invalid: an engine that breaks off may go on with
//! the head of another answer, whose lines end with both.

use bytes::{Bytes, BytesMut};
use memchr::memmem;
use std::io;
use tokio_util::codec::Decoder;

/// Maximum length of an event in bytes: 500 times the longest on the users' sheets (480 bytes).
/// Longer ones are invalid data.
const MAX_EVENT_BYTES: usize = 256 << 10;
/// End of an event: an empty line.
const EVENT_END: &[u8] = b"\n\n";
/// Prefix of the line with an event's number.
const ID_PREFIX: &[u8] = b"id:";

/// A server-sent event.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Event {
    /// Number in the `id` field.
    pub number: Option<u32>,
    /// Bytes of the event, with the empty line that ends it.
    pub bytes: Bytes,
}

/// Decoder of server-sent events.
#[derive(Clone, Copy, Debug, Default)]
pub struct Codec {
    /// Number of bytes at the start of the buffer that hold no end of an event.
    searched: usize,
}

impl Decoder for Codec {
    type Item = Event;
    type Error = io::Error;

    fn decode(&mut self, buffer: &mut BytesMut) -> io::Result<Option<Event>> {
        let Some(found) = memmem::find(&buffer[self.searched..], EVENT_END) else {
            if buffer.len() > MAX_EVENT_BYTES {
                return Err(io::Error::from(io::ErrorKind::InvalidData));
            }
            self.searched = buffer.len().saturating_sub(EVENT_END.len() - 1);
            return Ok(None);
        };
        let end = self.searched + found + EVENT_END.len();
        self.searched = 0;
        let bytes = buffer.split_to(end).freeze();
        if memchr::memchr(b'\r', &bytes).is_some() {
            return Err(io::Error::from(io::ErrorKind::InvalidData));
        }
        Ok(Some(Event { number: parse_number(&bytes), bytes }))
    }

    fn decode_eof(&mut self, buffer: &mut BytesMut) -> io::Result<Option<Event>> {
        match self.decode(buffer)? {
            Some(event) => Ok(Some(event)),
            None if buffer.is_empty() => Ok(None),
            None => Err(io::Error::from(io::ErrorKind::UnexpectedEof)),
        }
    }
}

fn parse_number(event: &[u8]) -> Option<u32> {
    let line = event.split(|byte| *byte == b'\n').find_map(|line| line.strip_prefix(ID_PREFIX))?;
    std::str::from_utf8(line).ok()?.trim().parse().ok()
}
