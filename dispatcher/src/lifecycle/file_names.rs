//! Names of the files in `$TMPDIR`.

/// The name of a dispatcher as part of a file name: other characters than ASCII letters and digits are replaced, so
/// different names may become the same.
pub fn sanitize(name: &str) -> String {
    name.chars().map(|character| if character.is_ascii_alphanumeric() { character } else { '_' }).collect()
}
