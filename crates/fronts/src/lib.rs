//! What every front needs: the readings taken at start, made into the module's parts, and ids as indices.

mod ids;
mod readings;

pub use ids::{Numbers, Slots};
pub use readings::{Misread, Readings};
