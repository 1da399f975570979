//! Maps of ids to small indices and back.

use fernglade::{ScanId, Searcher};
use std::collections::{BTreeMap, HashMap};
use std::hash::Hash;

/// A generational slot map of open scans. The slot of a removed scan is reused with a new generation,
/// so a stale id finds nothing.
pub struct SlotMap<T> {
    slots: Vec<(u32, Option<T>)>,
    free: Vec<u32>,
}

impl<T> Default for SlotMap<T> {
    fn default() -> Self {
        Self { slots: Vec::new(), free: Vec::new() }
    }
}

impl<T> SlotMap<T> {
    /// Adds a scan and returns its id.
    pub fn insert(&mut self, value: T) -> ScanId {
        let slot = self.free.pop().unwrap_or(self.slots.len() as u32);
        if slot as usize == self.slots.len() {
            self.slots.push((0, None));
        }
        let (generation, entry) = &mut self.slots[slot as usize];
        (*generation, *entry) = (generation.wrapping_add(1), Some(value));
        ScanId { slot, generation: *generation }
    }

    /// The scan with this id, if it is open.
    pub fn get(&self, id: ScanId) -> Option<&T> {
        self.slots.get(id.slot as usize).filter(|(generation, _)| *generation == id.generation)?.1.as_ref()
    }

    /// The scan with this id, if it is open.
    pub fn get_mut(&mut self, id: ScanId) -> Option<&mut T> {
        self.slots
            .get_mut(id.slot as usize)
            .filter(|(generation, _)| *generation == id.generation)?
            .1
            .as_mut()
    }

    /// Removes a scan and frees its slot.
    pub fn remove(&mut self, id: ScanId) -> Option<T> {
        let entry =
            self.slots.get_mut(id.slot as usize).filter(|(generation, _)| *generation == id.generation);
        let value = entry.and_then(|(_, value)| value.take())?;
        self.free.push(id.slot);
        Some(value)
    }

    /// Number of open scans.
    pub fn len(&self) -> usize {
        self.slots.len() - self.free.len()
    }

    /// Whether no scan is open.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

/// Numeric ids of the known searchers by name. An id is never reused.
pub struct SearcherIds<K> {
    ids: HashMap<K, Searcher>,
    names: BTreeMap<Searcher, K>,
    /// How many ids have been assigned.
    assigned: u32,
}

impl<K> Default for SearcherIds<K> {
    fn default() -> Self {
        Self { ids: HashMap::new(), names: BTreeMap::new(), assigned: 0 }
    }
}

impl<K: Hash + Eq + Clone> SearcherIds<K> {
    /// Removes a searcher and returns its id. The name gets a new id if it comes back.
    pub fn remove(&mut self, name: &K) -> Option<Searcher> {
        let id = self.ids.remove(name)?;
        self.names.remove(&id);
        Some(id)
    }

    /// The searcher's id; a new name is assigned the next one.
    pub fn get_or_assign(&mut self, name: &K) -> Searcher {
        if let Some(id) = self.ids.get(name) {
            return *id;
        }
        let new = Searcher(self.assigned);
        self.assigned += 1;
        self.names.insert(new, name.clone());
        self.ids.insert(name.clone(), new);
        new
    }

    /// The searcher's id, if it is known.
    pub fn get(&self, name: &K) -> Option<Searcher> {
        self.ids.get(name).copied()
    }

    /// The name of a known searcher.
    pub fn name(&self, searcher: Searcher) -> Option<&K> {
        self.names.get(&searcher)
    }

    /// Removes all searchers but those for which `keep` is true; one that comes back gets a new id.
    pub fn retain(&mut self, keep: impl Fn(&K) -> bool) {
        self.ids.retain(|name, _| keep(name));
        self.names.retain(|_, name| keep(name));
    }
}

#[cfg(test)]
mod tests {
    use super::{SearcherIds, SlotMap};
    use fernglade::Searcher;

    #[test]
    fn a_stale_id_finds_nothing() {
        let mut slots = SlotMap::default();
        let old = slots.insert("a");
        assert_eq!((slots.remove(old), slots.remove(old), slots.len()), (Some("a"), None, 0));
        let new = slots.insert("b");
        assert_eq!((new.slot, slots.get(old), slots.get(new)), (old.slot, None, Some(&"b")));
    }

    #[test]
    fn ids_are_assigned_in_order_and_never_reused() {
        let mut searchers = SearcherIds::default();
        assert_eq!(
            (searchers.get_or_assign(&"x"), searchers.get_or_assign(&"y"), searchers.get_or_assign(&"x")),
            (Searcher(0), Searcher(1), Searcher(0))
        );
        assert_eq!((searchers.name(Searcher(1)), searchers.get(&"z")), (Some(&"y"), None));
        searchers.retain(|name| *name != "x");
        assert_eq!((searchers.get(&"x"), searchers.name(Searcher(0))), (None, None));
        assert_eq!((searchers.get_or_assign(&"x"), searchers.get(&"y")), (Searcher(2), Some(Searcher(1))));
    }
}
