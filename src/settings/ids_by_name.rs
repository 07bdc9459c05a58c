//! Numbers for names.

/// Ids for names, counted from 0 in the order in which the names were first met.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct IdsByName(Vec<String>);

impl IdsByName {
    /// Ids for these names, in their order.
    #[must_use]
    pub fn new(names: Vec<String>) -> IdsByName {
        IdsByName(names)
    }

    /// The id of a name; a name that is new gets the next one.
    pub fn id(&mut self, name: &str) -> u32 {
        if let Some(id) = self.known(name) {
            return id;
        }
        self.0.push(name.to_owned());
        self.0.len() as u32 - 1
    }

    /// All names, by id.
    #[must_use]
    pub fn names(&self) -> &[String] {
        &self.0
    }

    /// The id of a name that was met before. A site has few names of each kind, so a scan is quickest.
    #[must_use]
    pub fn known(&self, name: &str) -> Option<u32> {
        self.0.iter().position(|other| other == name).map(|index| index as u32)
    }
}
