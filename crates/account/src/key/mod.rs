//! Keys of client accounts: plaintext secrets, stored verifiers and the keyring of valid keys.

mod keyring;
mod mock;
mod secret;
mod verifier;

pub use keyring::Decision;
pub use keyring::Fallback;
pub use keyring::Keyring;
pub use keyring::Keys;
pub use keyring::Policy;
pub use mock::PBKDF2_ITERATIONS;
pub use mock::mock_verifier;
pub use mock::salt;
pub use secret::Secret;
pub use verifier::KEY_LEN;
pub use verifier::Verifier;
