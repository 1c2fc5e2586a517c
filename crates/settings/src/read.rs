//! Typed reading of HCL blocks; collects every problem with its line.

use hcl_edit::expr::Expression;
use hcl_edit::structure::Body;
use hcl_edit::Span;
use std::cell::RefCell;
use std::collections::BTreeSet;
use std::fmt;
use std::net::SocketAddr;
use std::str::FromStr;
use std::time::Duration;

/// A problem in a file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Problem {
    /// Name of the file, as given by the caller.
    pub file: String,
    /// Line, from 1.
    pub line: usize,
    /// Path of the field, such as `partner "bank".rate`.
    pub field: String,
    /// What is wrong.
    pub description: String,
    /// What is allowed, or what to do.
    pub advice: String,
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}: {} {}; {}", self.file, self.line, self.field, self.description, self.advice)
    }
}

/// All problems in a file, in the order of lines. Never empty.
#[derive(Clone, Debug, thiserror::Error)]
pub struct Problems(pub Vec<Problem>);

impl fmt::Display for Problems {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let lines: Vec<String> = self.0.iter().map(Problem::to_string).collect();
        f.write_str(&lines.join("\n"))
    }
}

/// A file's lines and the problems found in it so far.
pub struct Source {
    file: String,
    /// Offsets at which lines start.
    starts: Vec<usize>,
    problems: RefCell<Vec<Problem>>,
}

impl Source {
    pub fn new(file: &str, text: &str) -> Self {
        let ends = text.bytes().enumerate().filter(|(_, b)| *b == b'\n').map(|(at, _)| at + 1);
        let starts = std::iter::once(0).chain(ends).collect();
        Source { file: file.to_owned(), starts, problems: RefCell::default() }
    }

    fn line(&self, offset: usize) -> usize {
        self.starts.partition_point(|start| *start <= offset).max(1)
    }

    pub fn report(&self, line: usize, field: &str, description: &str, advice: &str) {
        self.problems.borrow_mut().push(Problem {
            file: self.file.clone(),
            line: line.max(1),
            field: field.to_owned(),
            description: description.to_owned(),
            advice: advice.to_owned(),
        });
    }

    pub fn is_clean(&self) -> bool {
        self.problems.borrow().is_empty()
    }

    pub fn into_problems(self) -> Problems {
        let mut all = self.problems.into_inner();
        all.sort_by_key(|problem| problem.line);
        Problems(all)
    }
}

/// A block being read. [`Block::finish`] reports what was never read as unknown.
pub struct Block<'a> {
    source: &'a Source,
    body: &'a Body,
    path: String,
    line: usize,
    known: RefCell<BTreeSet<String>>,
}

impl<'a> Block<'a> {
    pub fn root(source: &'a Source, body: &'a Body) -> Self {
        Block { source, body, path: String::new(), line: 1, known: RefCell::default() }
    }

    fn field(&self, name: &str) -> String {
        match self.path.is_empty() {
            true => name.to_owned(),
            false => format!("{}.{name}", self.path),
        }
    }

    /// Reports a problem of this block; `line` 0 means its own line.
    pub fn problem(&self, line: usize, name: &str, description: &str, advice: &str) {
        self.source.report(if line == 0 { self.line } else { line }, &self.field(name), description, advice);
    }

    /// Reports a problem of an attribute, at its line if it is present.
    pub fn problem_at(&self, name: &str, description: &str, advice: &str) {
        let line =
            self.body.get_attribute(name).and_then(Span::span).map(|span| self.source.line(span.start));
        self.problem(line.unwrap_or(0), name, description, advice);
    }

    fn value(&self, name: &str) -> Option<&'a Expression> {
        self.known.borrow_mut().insert(name.to_owned());
        self.body.get_attribute(name).map(|attribute| &attribute.value)
    }

    /// An optional string.
    pub fn text(&self, name: &str) -> Option<String> {
        let value = self.value(name)?;
        if let Expression::String(text) = value {
            return Some(text.to_string());
        }
        self.problem_at(name, "is not a plain text", "write it in double quotes");
        None
    }

    /// A required, non-empty string.
    pub fn required(&self, name: &str) -> Option<String> {
        let text = self.text(name);
        if self.body.get_attribute(name).is_none() {
            self.problem_at(name, "is missing", &format!("add {name} = \"...\""));
        }
        text.filter(|text| {
            let there = !text.is_empty();
            if !there {
                self.problem_at(name, "is empty", "give it a value");
            }
            there
        })
    }

    /// An optional string parsed into some type.
    fn parsed<T>(&self, name: &str, read: impl Fn(&str) -> Option<T>, advice: &str) -> Option<T> {
        let text = self.text(name)?;
        let value = read(&text);
        if value.is_none() {
            self.problem_at(name, &format!("can't be read: '{text}'"), advice);
        }
        value
    }

    /// A duration such as `"250ms"`, `"3s"` or `"2m"`.
    pub fn span(&self, name: &str, absent: Duration) -> Duration {
        self.parsed(name, read_duration, "a time such as \"250ms\", \"3s\" or \"2m\" is allowed")
            .unwrap_or(absent)
    }

    /// A size such as `"4MiB"`.
    pub fn size(&self, name: &str, units: &[(&str, u64)], absent: usize) -> usize {
        let read = |text: &str| {
            let (digits, unit) = units
                .iter()
                .find_map(|(unit, bytes)| Some((text.strip_suffix(unit)?, *bytes)))
                .unwrap_or((text, 1));
            usize::try_from(digits.trim().parse::<u64>().ok()?.checked_mul(unit)?)
                .ok()
                .filter(|size| *size > 0)
        };
        self.parsed(name, read, "a size such as \"64KiB\" or \"4MiB\" is allowed").unwrap_or(absent)
    }

    /// A required socket address such as `"127.0.0.1:4080"`.
    pub fn address(&self, name: &str) -> Option<SocketAddr> {
        let text = self.required(name)?;
        let address = text.parse().ok();
        if address.is_none() {
            self.problem_at(
                name,
                &format!("can't be read: '{text}'"),
                "an address with its port, such as \"127.0.0.1:4080\"",
            );
        }
        address
    }

    /// A number from `least` to `most`.
    pub fn number<T>(&self, name: &str, least: T, most: T, absent: T) -> T
    where
        T: Copy + FromStr + PartialOrd + fmt::Display,
    {
        let Some(value) = self.value(name) else { return absent };
        let text = match value {
            Expression::Number(number) => number.value().to_string(),
            _ => String::new(),
        };
        match text.parse::<T>() {
            Ok(number) if number >= least && number <= most => number,
            _ => {
                let advice = format!("a number from {least} to {most} is allowed");
                self.problem_at(name, "is no such number", &advice);
                absent
            }
        }
    }

    /// A boolean.
    pub fn flag(&self, name: &str, absent: bool) -> bool {
        match self.value(name) {
            None => absent,
            Some(Expression::Bool(flag)) => *flag.value(),
            Some(_) => {
                self.problem_at(name, "is neither true nor false", "true or false is allowed");
                absent
            }
        }
    }

    /// One of several named values.
    pub fn choice<T: Copy>(&self, name: &str, words: &[(&str, T)], absent: T) -> T {
        let Some(word) = self.text(name) else { return absent };
        if let Some((_, meaning)) = words.iter().find(|(known, _)| *known == word) {
            return *meaning;
        }
        let known: Vec<&str> = words.iter().map(|(known, _)| *known).collect();
        let advice = format!("one of these is allowed: {}", known.join(", "));
        self.problem_at(name, &format!("is '{word}'"), &advice);
        absent
    }

    /// A list of strings.
    pub fn words(&self, name: &str) -> Vec<String> {
        let Some(value) = self.value(name) else { return Vec::new() };
        let texts = value.as_array().map(|array| array.iter().map(|item| item.as_str()).collect::<Vec<_>>());
        match texts {
            Some(texts) if texts.iter().all(Option::is_some) => {
                texts.into_iter().flatten().map(str::to_owned).collect()
            }
            _ => {
                self.problem_at(name, "is no list of texts", "a list such as [\"a\", \"b\"] is allowed");
                Vec::new()
            }
        }
    }

    /// The only block of this kind, without a label. Several are a problem; none is one for all kinds but `rules`.
    pub fn only(&self, kind: &'a str) -> Option<Block<'a>> {
        self.known.borrow_mut().insert(kind.to_owned());
        let mut blocks = self.body.get_blocks(kind);
        let first = blocks.next();
        if first.is_none() && kind != "rules" {
            self.problem(0, kind, "is missing", &format!("add a block {kind} {{ ... }}"));
        }
        if let Some(second) = blocks.next() {
            let line = second.span().map_or(0, |span| self.source.line(span.start));
            self.problem(line, kind, "stands twice", "keep one of the blocks");
        }
        first.map(|block| self.inner(kind, block))
    }

    /// All blocks of a kind with their labels, one each.
    pub fn labelled(&self, kind: &'a str) -> Vec<(String, Block<'a>)> {
        self.known.borrow_mut().insert(kind.to_owned());
        let mut found: Vec<(String, Block<'a>)> = Vec::new();
        for block in self.body.get_blocks(kind) {
            let line = block.span().map_or(0, |span| self.source.line(span.start));
            let [label] = &block.labels[..] else {
                self.problem(line, kind, "needs one name", &format!("write {kind} \"name\" {{ ... }}"));
                continue;
            };
            let label = label.as_str().to_owned();
            if found.iter().any(|(other, _)| *other == label) {
                self.problem(line, &format!("{kind} \"{label}\""), "stands twice", "give one another name");
                continue;
            }
            let inner = self.inner(&format!("{kind} \"{label}\""), block);
            found.push((label, inner));
        }
        found
    }

    fn inner(&self, name: &str, block: &'a hcl_edit::structure::Block) -> Block<'a> {
        let line = block.span().map_or(self.line, |span| self.source.line(span.start));
        Block {
            source: self.source,
            body: &block.body,
            path: self.field(name),
            line,
            known: RefCell::default(),
        }
    }

    /// Index of a name among those defined elsewhere in the file; a problem if there is none.
    pub fn index_of(&self, field: &str, name: &str, defined: &[String]) -> Option<usize> {
        let found = defined.iter().position(|other| other == name);
        if found.is_none() {
            let description = format!("names '{name}', which is not defined");
            self.problem_at(field, &description, &format!("one of: {}", defined.join(", ")));
        }
        found
    }

    /// Reports attributes and blocks that were never read as unknown: guards against misspelt names.
    pub fn finish(&self) {
        let known = self.known.borrow();
        let allowed = || known.iter().cloned().collect::<Vec<_>>().join(", ");
        for attribute in self.body.attributes() {
            if !known.contains(attribute.key.as_str()) {
                let advice = format!("known here: {}", allowed());
                self.problem_at(attribute.key.as_str(), "is not known", &advice);
            }
        }
        for block in self.body.blocks() {
            if !known.contains(block.ident.as_str()) {
                let line = block.span().map_or(0, |span| self.source.line(span.start));
                self.problem(
                    line,
                    block.ident.as_str(),
                    "is not known",
                    &format!("known here: {}", allowed()),
                );
            }
        }
    }
}

fn read_duration(text: &str) -> Option<Duration> {
    let digits = text.trim_end_matches(|c: char| c.is_ascii_alphabetic());
    let unit = match &text[digits.len()..] {
        "ms" => 0.001,
        "s" => 1.0,
        "m" => 60.0,
        "h" => 3600.0,
        _ => return None,
    };
    let seconds = digits.trim().parse::<f64>().ok()? * unit;
    (seconds.is_finite() && (0.0..1e9).contains(&seconds)).then(|| Duration::from_secs_f64(seconds))
}
