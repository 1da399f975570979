//! Code shared by the programs that run the mixer module: its settings and the components built from them,
//! and ids mapped to indices.

mod ids;
mod settings;

pub use ids::{SearcherIds, SlotMap};
pub use settings::{Settings, SettingsError};
