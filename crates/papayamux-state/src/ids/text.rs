//! Text identifiers: graphic ASCII characters, or the names that operators choose.

use super::{IdError, ServerStart};

/// Maximum length of a text identifier in bytes.
pub const MAX_ID_BYTES: usize = 128;

fn validate_length(text: &str, limit: usize) -> Result<(), IdError> {
    match text.len() {
        0 => Err(IdError::Empty),
        length if length > limit => Err(IdError::TooLong { length, limit }),
        _ => Ok(()),
    }
}

/// Maximum length in bytes of a name that operators choose: that of a common request head, in which it may be
/// sent.
const MAX_CHOSEN_NAME_BYTES: usize = 16 * 1024;

/// Accepts the names that operators choose, in any language. Control characters would break log lines and
/// headers.
fn validate_chosen_name(text: &str) -> Result<String, IdError> {
    validate_length(text, MAX_CHOSEN_NAME_BYTES)?;
    match text.chars().find(|character| character.is_control()) {
        Some(character) => Err(IdError::Character { character }),
        None => Ok(text.to_string()),
    }
}

/// Accepts an identifier: 1 to 128 graphic ASCII characters.
pub fn validate_id(text: &str) -> Result<String, IdError> {
    validate_length(text, MAX_ID_BYTES)?;
    match text.chars().find(|character| !character.is_ascii_graphic()) {
        Some(character) => Err(IdError::Character { character }),
        None => Ok(text.to_string()),
    }
}

/// Maximum length of a server name in bytes, the same as that of the key of its entry.
const MAX_SERVER_NAME_BYTES: usize = 200;

fn validate_name(text: &str) -> Result<String, IdError> {
    validate_length(text, MAX_SERVER_NAME_BYTES)?;
    let allowed = |character: char| {
        character.is_ascii_alphanumeric() || matches!(character, '-' | '.' | '_' | ':')
    };
    match text.chars().find(|character| !allowed(*character)) {
        Some(character) => Err(IdError::Character { character }),
        None => Ok(text.to_string()),
    }
}

impl ServerId {
    /// Returns the identifier of the start of server `name` at `start`, which is `None` if the
    /// server doesn't report its start time.
    pub fn of_start(name: &ServerName, start: Option<ServerStart>) -> Self {
        match start {
            // Names can't contain `#`, so no name is mistaken for a start of another server.
            Some(start) => Self(format!("{name}#{start}")),
            None => Self(name.as_str().to_string()),
        }
    }
}

fn validate_version(text: &str) -> Result<String, IdError> {
    match text.len() {
        length if length > MAX_ID_BYTES => Err(IdError::TooLong { length, limit: MAX_ID_BYTES }),
        _ => Ok(text.to_string()),
    }
}

crate::text_newtype!(
    /// The version of a server's software, any text. Versions are compared for equality only: they have no order.
    SoftwareVersion,
    IdError,
    validate_version
);

macro_rules! text_id {
    ($(#[$doc:meta])* $name:ident) => {
        $crate::text_newtype!($(#[$doc])* $name, IdError, validate_id);
    };
}

macro_rules! chosen_name {
    ($(#[$doc:meta])* $name:ident) => {
        $crate::text_newtype!($(#[$doc])* $name, IdError, validate_chosen_name);
    };
}

chosen_name!(
    /// An organisation: a customer of the service.
    OrganisationId
);
text_id!(
    /// A model, as named by callers in a request.
    ModelId
);
text_id!(
    /// An adapter on top of a model.
    AdapterId
);
text_id!(
    /// One start of a backend server, which is a model engine or a plain service. A server that
    /// restarts under the same name gets another identifier, since it has lost its earlier state.
    ServerId
);
crate::text_newtype!(
    /// The name under which a backend server is listed and which it uses for itself. A server may
    /// keep its name when it restarts. Consists of letters, digits and `-._:`.
    ServerName, IdError, validate_name
);
chosen_name!(
    /// A failure domain (zone).
    FailureDomain
);
chosen_name!(
    /// A region: a group of nearby failure domains.
    Region
);
text_id!(
    /// The key that all turns of one chat have in common.
    ChatKey
);
text_id!(
    /// The key that a caller sends with a non-idempotent call and each retry of it.
    IdempotencyKey
);
chosen_name!(
    /// A service: a group of backend servers that run the same application or models.
    ServiceId
);
chosen_name!(
    /// A route from a host and path prefix to services.
    RouteId
);
