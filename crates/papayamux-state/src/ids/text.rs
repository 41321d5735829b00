//! Identifiers that are text: graphic ASCII, bounded in length.

use super::{IdError, ServerStart};

/// Bytes that a text identifier may have at most.
pub const MAX_ID_BYTES: usize = 128;

fn checked(text: &str) -> Result<String, IdError> {
    if text.is_empty() {
        return Err(IdError::Empty);
    }
    if text.len() > MAX_ID_BYTES {
        return Err(IdError::TooLong { length: text.len(), limit: MAX_ID_BYTES });
    }
    match text.chars().find(|character| !character.is_ascii_graphic()) {
        Some(character) => Err(IdError::Character { character }),
        None => Ok(text.to_string()),
    }
}

/// Bytes that a server's name may have at most: its identifier has room for the time of its start.
const MAX_NAME_BYTES: usize = 96;

fn checked_name(text: &str) -> Result<String, IdError> {
    let text = checked(text)?;
    if text.len() > MAX_NAME_BYTES {
        return Err(IdError::TooLong { length: text.len(), limit: MAX_NAME_BYTES });
    }
    let allowed = |character: char| {
        character.is_ascii_alphanumeric() || matches!(character, '-' | '.' | '_' | ':')
    };
    match text.chars().find(|character| !allowed(*character)) {
        Some(character) => Err(IdError::Character { character }),
        None => Ok(text),
    }
}

impl ServerId {
    /// The identifier of the start of `name` at `start`, where the server tells that.
    pub fn of_start(name: &ServerName, start: Option<ServerStart>) -> Self {
        match start {
            // Names hold no `#`, so that no name is taken for a start of another one.
            Some(start) => Self(format!("{name}#{start}")),
            None => Self(name.as_str().to_string()),
        }
    }
}

macro_rules! text_id {
    ($(#[$doc:meta])* $name:ident) => {
        $crate::text_newtype!($(#[$doc])* $name, IdError, checked);
    };
}

text_id!(
    /// An organisation: a customer of the service.
    OrganisationId
);
text_id!(
    /// A model that callers name in a request.
    ModelId
);
text_id!(
    /// An adapter on top of a model.
    AdapterId
);
text_id!(
    /// One start of a backend server: a model engine or a plain service. A server that starts again
    /// under the same name has another identifier, since it holds nothing of before.
    ServerId
);
crate::text_newtype!(
    /// The name under which a backend server is listed, and by which it knows itself. A server that
    /// starts again may keep it. Letters, digits and `-._:`.
    ServerName, IdError, checked_name
);
text_id!(
    /// A failure domain (zone).
    FailureDomain
);
text_id!(
    /// A region: failure domains near one another.
    Region
);
text_id!(
    /// The key under which the turns of one chat come back.
    ChatKey
);
text_id!(
    /// The key under which a caller repeats a non-idempotent call.
    IdempotencyKey
);
text_id!(
    /// A service: a group of backend servers that run the same application or models.
    ServiceId
);
text_id!(
    /// A route: one way from a host and path to a service.
    RouteId
);
