//! Identifiers that are text: graphic ASCII, bounded in length.

use super::IdError;

/// Bytes that a text identifier may have at most.
pub const LONGEST_ID: usize = 128;

fn checked(text: &str) -> Result<String, IdError> {
    if text.is_empty() {
        return Err(IdError::Empty);
    }
    if text.len() > LONGEST_ID {
        return Err(IdError::TooLong { length: text.len(), limit: LONGEST_ID });
    }
    match text.chars().find(|character| !character.is_ascii_graphic()) {
        Some(character) => Err(IdError::Character { character }),
        None => Ok(text.to_string()),
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
    /// A backend server: a model engine or a plain service.
    ServerId
);
text_id!(
    /// A failure domain (zone).
    FailureDomain
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
