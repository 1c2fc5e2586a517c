//! Ordered list of header fields.

/// Header fields of a message or of a MIME part, in order of appearance. Names are compared case-insensitively
/// (RFC 9110, section 5.1).
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Headers(Vec<(String, String)>);

impl Headers {
    /// Creates an empty list.
    pub fn new() -> Self {
        Self::default()
    }

    /// Appends a field and keeps earlier fields of the same name. CR, LF and NUL in the value become spaces, which
    /// prevents header injection; surrounding whitespace is trimmed.
    pub fn add(&mut self, name: &str, value: impl Into<String>) -> &mut Self {
        let value: String = value.into();
        let replace_line_break = |c: char| if c == '\r' || c == '\n' || c == '\0' { ' ' } else { c };
        self.0.push((
            name.to_owned(),
            value.chars().map(replace_line_break).collect::<String>().trim().to_owned(),
        ));
        self
    }

    /// Builder form of [`Headers::add`].
    pub fn with(mut self, name: &str, value: impl Into<String>) -> Self {
        self.add(name, value);
        self
    }

    /// Appends all fields of `other`; fields of the same name are kept.
    pub fn extend(&mut self, other: &Headers) -> &mut Self {
        self.0.extend_from_slice(&other.0);
        self
    }

    /// Returns the first value of the field, if it is present.
    pub fn get(&self, name: &str) -> Option<&str> {
        self.0
            .iter()
            .find(|(field_name, _)| field_name.eq_ignore_ascii_case(name))
            .map(|(_, value)| value.as_str())
    }

    /// Returns the values of all fields of this name, in order. Comma-separated values are not split.
    pub fn get_all<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a str> {
        self.0
            .iter()
            .filter(move |(field_name, _)| field_name.eq_ignore_ascii_case(name))
            .map(|(_, value)| value.as_str())
    }

    /// Returns whether the comma-separated list of a field contains `token`, compared case-insensitively (RFC 9110,
    /// section 5.6.1).
    pub fn has_token(&self, name: &str, token: &str) -> bool {
        self.get_all(name)
            .flat_map(|value| value.split(','))
            .any(|element| element.trim().eq_ignore_ascii_case(token))
    }

    /// Iterates over names and values, in order.
    pub fn iter(&self) -> impl Iterator<Item = (&str, &str)> {
        self.0.iter().map(|(name, value)| (name.as_str(), value.as_str()))
    }
}
