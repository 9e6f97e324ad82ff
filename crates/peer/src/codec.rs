//! Encoding and authentication of messages.

use crate::Error;
use crate::Frame;
use crate::frame::VERSION;

/// Length of the authentication tag at the end of a message.
const TAG_BYTES: usize = 32;

/// Separates this use of the fleet secret from other uses.
const PURPOSE: &[u8] = b"yuccamount peer 1";

/// Encodes and decodes messages authenticated with the fleet secret.
#[derive(Clone)]
pub struct Codec {
    authenticator: seal::Authenticator,
}

impl Codec {
    /// Opens a codec for the fleet secret.
    pub fn open(secret: &[u8]) -> Self {
        let authenticator = seal::Authenticator::open(secret, PURPOSE, TAG_BYTES);
        Self { authenticator }
    }

    /// Encodes a message and appends its authentication tag.
    pub fn encode(&self, frame: &Frame) -> Result<Vec<u8>, Error> {
        let mut bytes = postcard::to_stdvec(frame)
            .map_err(|_| invalid("encode", "the message can't be encoded"))?;
        self.authenticator.append_tag(&mut bytes);
        Ok(bytes)
    }

    /// Verifies the authentication tag, decodes the message and checks its protocol version.
    pub fn decode(&self, bytes: &[u8]) -> Result<Frame, Error> {
        let content = self
            .authenticator
            .verify(bytes)
            .ok_or_else(|| invalid("decode", "the authentication tag is missing or wrong"))?;
        let frame: Frame = postcard::from_bytes(content)
            .map_err(|_| invalid("decode", "the message is malformed"))?;
        if frame.version != VERSION {
            return Err(invalid("decode", "the protocol version is not supported"));
        }
        Ok(frame)
    }
}

fn invalid(step: &'static str, why: &'static str) -> Error {
    Error::Invalid { step, why }
}
