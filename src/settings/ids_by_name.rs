//! Mapping from names to numeric ids.

/// Maps names to ids, which count from 0 in the order in which the names were added.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct IdsByName(Vec<String>);

impl IdsByName {
    /// Assigns ids to these names in their order.
    #[must_use]
    pub fn new(names: Vec<String>) -> IdsByName {
        IdsByName(names)
    }

    /// Returns the id of a name. A new name is added with the next id.
    pub fn get_or_insert(&mut self, name: &str) -> u32 {
        if let Some(id) = self.get(name) {
            return id;
        }
        self.0.push(name.to_owned());
        self.0.len() as u32 - 1
    }

    /// All names, indexed by id.
    #[must_use]
    pub fn names(&self) -> &[String] {
        &self.0
    }

    /// Returns the id of a name, if it has one. A site has few names of each kind, so a linear scan is
    /// fastest.
    #[must_use]
    pub fn get(&self, name: &str) -> Option<u32> {
        self.0.iter().position(|other| other == name).map(|index| index as u32)
    }
}
