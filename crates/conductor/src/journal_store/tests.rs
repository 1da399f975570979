use super::*;

fn directory(name: &str) -> PathBuf {
    let directory =
        std::env::temp_dir().join(format!("fernglade-journal-store-{name}-{}", std::process::id()));
    std::fs::create_dir_all(&directory).expect("a temporary directory");
    directory
}

/// A conductor killed between taking a command and carrying it out must find the command again after a
/// restart.
#[test]
fn a_command_that_was_taken_and_not_carried_out_is_returned_again() {
    let directory = directory("wish");
    let path = directory.join("journal");
    submit_wish(&path, Wish::Undo).expect("the command can be submitted");
    let store = JournalStore::open(&path).expect("a journal");
    assert!(matches!(store.take_wish(), Some(Wish::Undo)));
    drop(store);
    let store = JournalStore::open(&path).expect("a journal");
    assert!(matches!(store.take_wish(), Some(Wish::Undo)), "not carried out yet");
    store.clear_wish();
    assert!(store.take_wish().is_none());
    // A second command, submitted while the first is being carried out, is returned next.
    submit_wish(&path, Wish::Pause).expect("the command can be submitted");
    assert!(matches!(store.take_wish(), Some(Wish::Pause)));
    submit_wish(&path, Wish::Resume).expect("the command can be submitted");
    store.clear_wish();
    assert!(matches!(store.take_wish(), Some(Wish::Resume)));
    drop(store);
    std::fs::remove_dir_all(directory).expect("a temporary directory");
}
