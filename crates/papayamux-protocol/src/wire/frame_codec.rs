//! Framing: a four-byte length followed by a prost message.

use std::io;
use std::marker::PhantomData;

use bytes::{BufMut, BytesMut};
use prost::Message;
use thiserror::Error;
use tokio_util::codec::{Decoder, Encoder, LengthDelimitedCodec};

use super::WireError;
use crate::link::{Addressed, MAX_FRAME_BYTES};

/// The error of reading or writing a frame.
#[derive(Debug, Error)]
pub enum CodecError {
    /// The connection failed, or a frame exceeds the maximum length.
    #[error("connection: {0}")]
    Io(#[from] io::Error),
    /// The frame is not a valid prost message.
    #[error("frame: {0}")]
    Prost(#[from] prost::DecodeError),
    /// The message is invalid.
    #[error(transparent)]
    Wire(#[from] WireError),
}

/// Decodes incoming messages from frames `In` and encodes outgoing messages as frames `Out`.
#[derive(Debug)]
pub struct FrameCodec<Out, In> {
    lengths: LengthDelimitedCodec,
    kinds: PhantomData<(Out, In)>,
}

impl<Out, In> Default for FrameCodec<Out, In> {
    fn default() -> Self {
        let lengths = LengthDelimitedCodec::builder().max_frame_length(MAX_FRAME_BYTES).new_codec();
        Self { lengths, kinds: PhantomData }
    }
}

impl<Out, In, M> Encoder<Addressed<M>> for FrameCodec<Out, In>
where
    Out: Message + From<Addressed<M>>,
{
    type Error = CodecError;

    fn encode(&mut self, message: Addressed<M>, buffer: &mut BytesMut) -> Result<(), CodecError> {
        let frame = Out::from(message);
        let length = frame.encoded_len();
        if length > MAX_FRAME_BYTES {
            return Err(io::Error::new(io::ErrorKind::InvalidInput, "frame too long").into());
        }
        buffer.reserve(size_of::<u32>() + length);
        buffer.put_u32(length as u32);
        frame.encode_raw(buffer);
        Ok(())
    }
}

/// A frame type that decodes to a message.
pub trait FrameMessage: Message + Default {
    /// The decoded message.
    type Message;

    /// Validates the frame and converts it to its message.
    fn into_message(self) -> Result<Addressed<Self::Message>, WireError>;
}

impl<Out, In: FrameMessage> Decoder for FrameCodec<Out, In> {
    type Item = Addressed<In::Message>;
    type Error = CodecError;

    fn decode(&mut self, buffer: &mut BytesMut) -> Result<Option<Self::Item>, CodecError> {
        let Some(frame) = self.lengths.decode(buffer)? else { return Ok(None) };
        let message = In::decode(frame.freeze())?.into_message()?;
        Ok(Some(message))
    }
}
