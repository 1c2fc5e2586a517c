//! Header fields in their order.

/// Header fields of a message or of a MIME part. Names compare without regard to case (RFC 9110, section 5.1).
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Headers(Vec<(String, String)>);

impl Headers {
    /// An empty list.
    pub fn new() -> Self {
        Self::default()
    }

    /// Appends a field; earlier ones of that name stay. Line breaks in the value become spaces: guards against header
    /// injection.
    pub fn add(&mut self, name: &str, value: impl Into<String>) -> &mut Self {
        let value: String = value.into();
        let clean = |c: char| if c == '\r' || c == '\n' || c == '\0' { ' ' } else { c };
        self.0.push((name.to_owned(), value.chars().map(clean).collect::<String>().trim().to_owned()));
        self
    }

    /// Like [`Headers::add`], for building in one expression.
    pub fn with(mut self, name: &str, value: impl Into<String>) -> Self {
        self.add(name, value);
        self
    }

    /// Appends all fields of another list.
    pub fn extend(&mut self, other: &Headers) -> &mut Self {
        self.0.extend_from_slice(&other.0);
        self
    }

    /// First value of a field.
    pub fn get(&self, name: &str) -> Option<&str> {
        self.0.iter().find(|(known, _)| known.eq_ignore_ascii_case(name)).map(|(_, value)| value.as_str())
    }

    /// All values of a field, in order.
    pub fn get_all<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a str> {
        self.0
            .iter()
            .filter(move |(known, _)| known.eq_ignore_ascii_case(name))
            .map(|(_, value)| value.as_str())
    }

    /// Whether a comma-separated field names this token (RFC 9110, section 5.6.1).
    pub fn has_token(&self, name: &str, token: &str) -> bool {
        self.get_all(name)
            .flat_map(|value| value.split(','))
            .any(|word| word.trim().eq_ignore_ascii_case(token))
    }

    /// Names and values, in order.
    pub fn iter(&self) -> impl Iterator<Item = (&str, &str)> {
        self.0.iter().map(|(name, value)| (name.as_str(), value.as_str()))
    }
}
