//! TLS towards clients.

use std::path::Path;
use std::path::PathBuf;
use std::sync::Arc;

use tokio_rustls::TlsAcceptor;
use tokio_rustls::rustls::ServerConfig;
use tokio_rustls::rustls::crypto::ring;

use crate::Error;

/// Where the certificate is, and whether clients must use it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Tls {
    /// The certificate chain, as a PEM file.
    pub certificate: PathBuf,
    /// The private key, as a PEM file.
    pub key: PathBuf,
    /// Whether a client without TLS is refused.
    pub required: bool,
}

impl Tls {
    /// Reads the files.
    pub(crate) fn load(&self) -> Result<TlsAcceptor, Error> {
        let pem = read(&self.certificate)?;
        let chain: Vec<_> = rustls_pemfile::certs(&mut pem.as_slice())
            .collect::<Result<_, _>>()
            .map_err(|error| refused(&self.certificate, error))?;
        let pem = read(&self.key)?;
        let key = rustls_pemfile::private_key(&mut pem.as_slice())
            .map_err(|error| refused(&self.key, error))?
            .ok_or_else(|| refused(&self.key, "no private key in it"))?;
        let config = ServerConfig::builder_with_provider(Arc::new(ring::default_provider()))
            .with_safe_default_protocol_versions()
            .map_err(|error| refused(&self.certificate, error))?
            .with_no_client_auth()
            .with_single_cert(chain, key)
            .map_err(|error| refused(&self.certificate, error))?;
        Ok(TlsAcceptor::from(Arc::new(config)))
    }
}

fn read(path: &Path) -> Result<Vec<u8>, Error> {
    std::fs::read(path).map_err(|error| refused(path, error))
}

fn refused(path: &Path, why: impl ToString) -> Error {
    Error::Certificate {
        path: path.display().to_string(),
        why: why.to_string(),
    }
}
