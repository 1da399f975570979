//! What every front needs: the readings taken at start, made into the module's parts, and ids as indices.

mod ids;
mod settings;

pub use ids::{SearcherRegistry, SlotMap};
pub use settings::{Settings, SettingsError};
