//! Encoding and authentication of messages.

use crate::Error;
use crate::Frame;
use crate::frame::VERSION;

/// Bytes of the authentication code at the end of a message.
const TAG_BYTES: usize = 32;

/// Separates this use of the fleet secret from others.
const PURPOSE: &[u8] = b"yuccamount peer 1";

/// Seals and opens messages with the fleet secret.
#[derive(Clone)]
pub struct Seal {
    codes: seal::Authenticator,
}

impl Seal {
    /// Opens a seal for the secret.
    pub fn open(secret: &[u8]) -> Self {
        let codes = seal::Authenticator::open(secret, PURPOSE, TAG_BYTES);
        Self { codes }
    }

    /// Encodes a message and appends its authentication code.
    pub fn seal(&self, frame: &Frame) -> Result<Vec<u8>, Error> {
        let mut bytes = postcard::to_stdvec(frame).map_err(|_| invalid("seal", "not encodable"))?;
        self.codes.append_tag(&mut bytes);
        Ok(bytes)
    }

    /// Checks the authentication code and the version, and decodes the message.
    pub fn unseal(&self, bytes: &[u8]) -> Result<Frame, Error> {
        let content = self
            .codes
            .verify(bytes)
            .ok_or_else(|| invalid("unseal", "the authentication code is wrong"))?;
        let frame: Frame = postcard::from_bytes(content)
            .map_err(|_| invalid("unseal", "the message is malformed"))?;
        if frame.version != VERSION {
            return Err(invalid("unseal", "the protocol version is another"));
        }
        Ok(frame)
    }
}

fn invalid(step: &'static str, why: &'static str) -> Error {
    Error::Invalid { step, why }
}
