use super::*;

fn folder(name: &str) -> PathBuf {
    let folder = std::env::temp_dir().join(format!("fernglade-paper-{name}-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder");
    folder
}

/// The conductor was killed between taking a wish up and doing it.
#[test]
fn a_wish_that_was_taken_up_and_not_done_is_there_again() {
    let folder = folder("wish");
    let path = folder.join("journal");
    leave_wish(&path, Wish::Undo).expect("it can be left");
    let paper = Paper::open(&path).expect("a journal");
    assert!(matches!(paper.wish(), Some(Wish::Undo)));
    drop(paper);
    let paper = Paper::open(&path).expect("a journal");
    assert!(matches!(paper.wish(), Some(Wish::Undo)), "owed still");
    paper.wish_done();
    assert!(paper.wish().is_none());
    // Another one, left while the first was being done, is the next.
    leave_wish(&path, Wish::Pause).expect("it can be left");
    assert!(matches!(paper.wish(), Some(Wish::Pause)));
    leave_wish(&path, Wish::Resume).expect("it can be left");
    paper.wish_done();
    assert!(matches!(paper.wish(), Some(Wish::Resume)));
    drop(paper);
    std::fs::remove_dir_all(folder).expect("a folder");
}
