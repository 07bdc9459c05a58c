//! Tests of the files of the table of claimed ids.

use super::*;

/// A path prefix in an empty folder.
fn prefix(test: &str) -> PathBuf {
    let folder = std::env::temp_dir().join(format!("roselock-{test}-{}", std::process::id()));
    let _ = std::fs::remove_dir_all(&folder);
    std::fs::create_dir_all(&folder).expect("cannot create folder");
    folder.join("n0")
}

/// Guards against two tables, or two hashes of one id, after both processes created the file.
#[test]
fn the_first_table_stays_and_another_file_is_not_taken_for_one() {
    let path = prefix("id-table").with_extension("ids");
    create_table(&path, 5).expect("cannot create table");
    create_table(&path, 6).expect("the table exists");
    let words = open_table(&path, 7).expect("cannot open table").expect("not a table");
    assert_eq!(words.as_slice()[SEED_WORD].load(Ordering::SeqCst), 5);
    let again = open_table(&path, 8).expect("cannot open table").expect("not a table");
    words.as_slice()[HEADER_WORDS].store(9, Ordering::SeqCst);
    assert_eq!(again.as_slice()[HEADER_WORDS].load(Ordering::SeqCst), 9, "the words are shared");
    for invalid in [b"short".to_vec(), vec![1; TABLE_WORDS * size_of::<u64>()]] {
        let path = path.with_extension(format!("invalid-{}", invalid.len()));
        std::fs::write(&path, invalid).expect("cannot write file");
        assert!(open_table(&path, 7).expect("cannot open file").is_none());
    }
    std::fs::remove_dir_all(path.parent().expect("a folder")).expect("cannot remove folder");
}

/// Guards against a running process that is taken for one that has ended, and against two with the same number.
#[test]
fn a_number_is_taken_while_its_lock_is_held() {
    let prefix = prefix("id-locks");
    let (first, lock) = lock_free_number(&prefix).expect("no number");
    let (second, _second_lock) = lock_free_number(&prefix).expect("no number");
    assert_eq!((first, second), (Owner(0), Owner(1)));
    let words_path = prefix.with_extension("ids");
    create_table(&words_path, 1).expect("cannot create table");
    let words = open_table(&words_path, 1).expect("cannot open table").expect("not a table");
    let third_lock = File::create(lock_path(&prefix, Owner(2))).expect("cannot create file");
    let store = FileClaimStore { words, lock_prefix: prefix.clone(), _lock: third_lock };
    assert!(store.is_alive(first) && store.is_alive(second));
    drop(lock);
    assert!(!store.is_alive(first) && store.is_alive(second));
    assert_eq!(lock_free_number(&prefix).expect("no number").0, first);
    std::fs::remove_dir_all(prefix.parent().expect("a folder")).expect("cannot remove folder");
}
