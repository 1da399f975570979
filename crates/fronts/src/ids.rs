//! Ids to small indices and back.

use fernglade::{ScanId, Searcher};
use std::collections::BTreeMap;

/// What a front holds of each open scan. A slot is let again once its scan is closed, with a new turn, so an
/// id that is kept too long finds nothing.
pub struct Slots<T> {
    slots: Vec<(u32, Option<T>)>,
    free: Vec<u32>,
}

impl<T> Default for Slots<T> {
    fn default() -> Self {
        Self { slots: Vec::new(), free: Vec::new() }
    }
}

impl<T> Slots<T> {
    pub fn open(&mut self, held: T) -> ScanId {
        let slot = self.free.pop().unwrap_or(self.slots.len() as u32);
        if slot as usize == self.slots.len() {
            self.slots.push((0, None));
        }
        let (turn, place) = &mut self.slots[slot as usize];
        (*turn, *place) = (turn.wrapping_add(1), Some(held));
        ScanId { slot, generation: *turn }
    }

    pub fn get(&self, id: ScanId) -> Option<&T> {
        self.slots.get(id.slot as usize).filter(|(turn, _)| *turn == id.generation)?.1.as_ref()
    }

    pub fn get_mut(&mut self, id: ScanId) -> Option<&mut T> {
        self.slots.get_mut(id.slot as usize).filter(|(turn, _)| *turn == id.generation)?.1.as_mut()
    }

    pub fn close(&mut self, id: ScanId) -> Option<T> {
        let place = self.slots.get_mut(id.slot as usize).filter(|(turn, _)| *turn == id.generation);
        let held = place.and_then(|(_, held)| held.take())?;
        self.free.push(id.slot);
        Some(held)
    }

    pub fn len(&self) -> usize {
        self.slots.len() - self.free.len()
    }

    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

/// Searchers by name, as long as they are kept. A number is never given twice.
pub struct Numbers<K> {
    numbers: BTreeMap<K, Searcher>,
    names: BTreeMap<Searcher, K>,
    given: u32,
}

impl<K> Default for Numbers<K> {
    fn default() -> Self {
        Self { numbers: BTreeMap::new(), names: BTreeMap::new(), given: 0 }
    }
}

impl<K: Ord + Clone> Numbers<K> {
    /// Who had this name has it no more.
    pub fn remove(&mut self, name: &K) -> Option<Searcher> {
        let number = self.numbers.remove(name)?;
        self.names.remove(&number);
        Some(number)
    }

    pub fn number(&mut self, name: &K) -> Searcher {
        if let Some(known) = self.numbers.get(name) {
            return *known;
        }
        let new = Searcher(self.given);
        self.given += 1;
        self.names.insert(new, name.clone());
        self.numbers.insert(name.clone(), new);
        new
    }

    pub fn known(&self, name: &K) -> Option<Searcher> {
        self.numbers.get(name).copied()
    }

    pub fn name(&self, searcher: Searcher) -> Option<&K> {
        self.names.get(&searcher)
    }

    /// Lets go of all but these; one that comes back gets a new number.
    pub fn keep(&mut self, keep: impl Fn(&K) -> bool) {
        self.numbers.retain(|name, _| keep(name));
        self.names.retain(|_, name| keep(name));
    }
}

#[cfg(test)]
mod tests {
    use super::{Numbers, Slots};
    use fernglade::Searcher;

    #[test]
    fn an_id_kept_too_long_finds_nothing() {
        let mut slots = Slots::default();
        let old = slots.open("a");
        assert_eq!((slots.close(old), slots.close(old), slots.len()), (Some("a"), None, 0));
        let new = slots.open("b");
        assert_eq!((new.slot, slots.get(old), slots.get(new)), (old.slot, None, Some(&"b")));
    }

    #[test]
    fn searchers_are_numbered_as_they_are_first_named_and_no_number_is_given_twice() {
        let mut numbers = Numbers::default();
        assert_eq!(
            (numbers.number(&"x"), numbers.number(&"y"), numbers.number(&"x")),
            (Searcher(0), Searcher(1), Searcher(0))
        );
        assert_eq!((numbers.name(Searcher(1)), numbers.known(&"z")), (Some(&"y"), None));
        numbers.keep(|name| *name != "x");
        assert_eq!((numbers.known(&"x"), numbers.name(Searcher(0))), (None, None));
        assert_eq!((numbers.number(&"x"), numbers.known(&"y")), (Searcher(2), Some(Searcher(1))));
    }
}
