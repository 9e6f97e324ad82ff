//! Parameter and result values that are forwarded without decoding.

use std::error::Error;

use bytes::BufMut;
use bytes::Bytes;
use bytes::BytesMut;
use postgres_types::FromSql;
use postgres_types::IsNull;
use postgres_types::ToSql;
use postgres_types::Type;
use postgres_types::to_sql_checked;

/// A parameter or a result value in binary format.
#[derive(Debug)]
pub(super) struct Raw(pub(super) Option<Bytes>);

impl ToSql for Raw {
    fn to_sql(
        &self,
        _ty: &Type,
        out: &mut BytesMut,
    ) -> Result<IsNull, Box<dyn Error + Sync + Send>> {
        let Some(value) = &self.0 else {
            return Ok(IsNull::Yes);
        };
        out.put_slice(value);
        Ok(IsNull::No)
    }

    fn accepts(_ty: &Type) -> bool {
        true
    }

    to_sql_checked!();
}

impl<'a> FromSql<'a> for Raw {
    fn from_sql(_ty: &Type, raw: &'a [u8]) -> Result<Self, Box<dyn Error + Sync + Send>> {
        Ok(Self(Some(Bytes::copy_from_slice(raw))))
    }

    fn from_sql_null(_ty: &Type) -> Result<Self, Box<dyn Error + Sync + Send>> {
        Ok(Self(None))
    }

    fn accepts(_ty: &Type) -> bool {
        true
    }
}
