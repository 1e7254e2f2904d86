//! Cuts a stream of server-sent events into events, whose bytes stay as they came.

use bytes::{Bytes, BytesMut};
use memchr::memmem;
use std::io;
use tokio_util::codec::Decoder;

/// Longest event, 500 times the longest on the users' sheets (480 bytes); longer ones are noise.
const MAX_EVENT_BYTES: usize = 256 << 10;
const END: &[u8] = b"\n\n";
const ID: &[u8] = b"id:";

/// An event.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Event {
    /// Number in its `id` field.
    pub number: Option<u32>,
    /// Bytes, with the empty line that ends it.
    pub bytes: Bytes,
}

/// Codec of events.
#[derive(Clone, Copy, Debug, Default)]
pub struct Codec {
    /// Bytes that hold no end of an event.
    searched: usize,
}

impl Decoder for Codec {
    type Item = Event;
    type Error = io::Error;

    fn decode(&mut self, buffer: &mut BytesMut) -> io::Result<Option<Event>> {
        let Some(found) = memmem::find(&buffer[self.searched..], END) else {
            if buffer.len() > MAX_EVENT_BYTES {
                return Err(io::Error::from(io::ErrorKind::InvalidData));
            }
            self.searched = buffer.len().saturating_sub(END.len() - 1);
            return Ok(None);
        };
        let end = self.searched + found + END.len();
        self.searched = 0;
        let bytes = buffer.split_to(end).freeze();
        Ok(Some(Event { number: number(&bytes), bytes }))
    }

    fn decode_eof(&mut self, buffer: &mut BytesMut) -> io::Result<Option<Event>> {
        match self.decode(buffer)? {
            Some(event) => Ok(Some(event)),
            None if buffer.is_empty() => Ok(None),
            None => Err(io::Error::from(io::ErrorKind::UnexpectedEof)),
        }
    }
}

fn number(event: &[u8]) -> Option<u32> {
    let line = event.split(|byte| *byte == b'\n').find_map(|line| line.strip_prefix(ID))?;
    std::str::from_utf8(line).ok()?.trim().parse().ok()
}
