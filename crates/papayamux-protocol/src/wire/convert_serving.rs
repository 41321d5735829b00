//! Conversion of queries between agents from and to their wire types.

use papayamux_state::ids::{AdapterId, ModelId};
use papayamux_state::weights::{WeightsKind, WeightsRef};

use super::serving_messages::{WireServingAnswer, WireServingQuestion};
use super::{identifier, WireError};
use crate::serving::{ServingAnswer, ServingQuery, ServingRefusal};

const MODEL: u32 = 1;
const ADAPTER: u32 = 2;
const SERVES: u32 = 0;

impl From<ServingQuery> for WireServingQuestion {
    fn from(query: ServingQuery) -> Self {
        let kind = match query.weights.kind {
            WeightsKind::Model => MODEL,
            WeightsKind::Adapter => ADAPTER,
        };
        Self { kind, name: query.weights.name, asker: query.asker.to_string() }
    }
}

impl TryFrom<WireServingQuestion> for ServingQuery {
    type Error = WireError;

    fn try_from(query: WireServingQuestion) -> Result<Self, WireError> {
        let weights = match query.kind {
            MODEL => WeightsRef::model(&identifier::<ModelId>("name", &query.name)?),
            ADAPTER => WeightsRef::adapter(&identifier::<AdapterId>("name", &query.name)?),
            number => return Err(WireError::Number { part: "kind", number }),
        };
        Ok(Self { weights, asker: identifier("asker", &query.asker)? })
    }
}

impl From<ServingAnswer> for WireServingAnswer {
    fn from(answer: ServingAnswer) -> Self {
        let refusal = match answer {
            ServingAnswer::Serves => SERVES,
            ServingAnswer::Refused(refusal) => refusal.number(),
        };
        Self { refusal }
    }
}

impl TryFrom<WireServingAnswer> for ServingAnswer {
    type Error = WireError;

    fn try_from(answer: WireServingAnswer) -> Result<Self, WireError> {
        if answer.refusal == SERVES {
            return Ok(ServingAnswer::Serves);
        }
        ServingRefusal::from_number(answer.refusal)
            .map(ServingAnswer::Refused)
            .ok_or(WireError::Number { part: "refusal", number: answer.refusal })
    }
}
