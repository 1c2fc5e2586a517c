//! Typed access to HCL blocks. Invalid values are collected as [`Problem`]s with their lines, so that one pass reports
//! all of them.

use hcl_edit::expr::Expression;
use hcl_edit::structure::Body;
use hcl_edit::Span;
use std::cell::RefCell;
use std::collections::BTreeSet;
use std::fmt;
use std::net::SocketAddr;
use std::str::FromStr;
use std::time::Duration;

/// One invalid, missing or unknown field or block of a settings file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Problem {
    /// Name of the file, as given by the caller.
    pub file: String,
    /// Line, from 1.
    pub line: usize,
    /// Path of the field or block, such as `partner "bank".rate`; `syntax` where the text is not HCL.
    pub field: String,
    /// What is wrong, worded to follow the field's path.
    pub description: String,
    /// Allowed values, or how to correct the field.
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

/// A settings file's name and line offsets, with the problems found in it so far.
pub struct Source {
    file: String,
    /// Byte offset of the first byte of each line.
    line_starts: Vec<usize>,
    problems: RefCell<Vec<Problem>>,
}

impl Source {
    /// Creates a source without problems; `file` is the file name that problems report.
    pub fn new(file: &str, text: &str) -> Self {
        let ends = text.bytes().enumerate().filter(|(_, b)| *b == b'\n').map(|(at, _)| at + 1);
        let line_starts = std::iter::once(0).chain(ends).collect();
        Source { file: file.to_owned(), line_starts, problems: RefCell::default() }
    }

    /// Line, from 1, of a byte offset.
    fn line_at(&self, offset: usize) -> usize {
        self.line_starts.partition_point(|start| *start <= offset).max(1)
    }

    /// Records a problem; a line of 0 counts as 1.
    pub fn report(&self, line: usize, field: &str, description: &str, advice: &str) {
        self.problems.borrow_mut().push(Problem {
            file: self.file.clone(),
            line: line.max(1),
            field: field.to_owned(),
            description: description.to_owned(),
            advice: advice.to_owned(),
        });
    }

    pub fn has_no_problems(&self) -> bool {
        self.problems.borrow().is_empty()
    }

    /// The problems sorted by line; those of one line stay in the order in which they were reported.
    pub fn into_problems(self) -> Problems {
        let mut all = self.problems.into_inner();
        all.sort_by_key(|problem| problem.line);
        Problems(all)
    }
}

/// A block being read. It remembers the names that were asked for, and [`Block::report_unknown`] reports all others in
/// the file as unknown.
pub struct Block<'a> {
    source: &'a Source,
    body: &'a Body,
    /// Path from the root of the file, such as `partner "bank"`; empty for the root.
    path: String,
    /// Line of its header; 1 for the file itself.
    line: usize,
    /// Names of the attributes and blocks that were asked for, present or not.
    read_names: RefCell<BTreeSet<String>>,
}

impl<'a> Block<'a> {
    /// The top level of a file.
    pub fn root(source: &'a Source, body: &'a Body) -> Self {
        Block { source, body, path: String::new(), line: 1, read_names: RefCell::default() }
    }

    /// Path of an attribute or block inside this block.
    fn field_path(&self, name: &str) -> String {
        match self.path.is_empty() {
            true => name.to_owned(),
            false => format!("{}.{name}", self.path),
        }
    }

    /// Reports a problem with the attribute or block `name` inside this block; `line` 0 stands for this block's line.
    pub fn report(&self, line: usize, name: &str, description: &str, advice: &str) {
        self.source.report(
            if line == 0 { self.line } else { line },
            &self.field_path(name),
            description,
            advice,
        );
    }

    /// Reports a problem with an attribute, at its own line if it is present and at this block's line otherwise.
    pub fn report_attribute(&self, name: &str, description: &str, advice: &str) {
        let line =
            self.body.get_attribute(name).and_then(Span::span).map(|span| self.source.line_at(span.start));
        self.report(line.unwrap_or(0), name, description, advice);
    }

    /// The value of an attribute, which then counts as read.
    fn value(&self, name: &str) -> Option<&'a Expression> {
        self.read_names.borrow_mut().insert(name.to_owned());
        self.body.get_attribute(name).map(|attribute| &attribute.value)
    }

    /// An optional string; a value of another type is a problem.
    pub fn string(&self, name: &str) -> Option<String> {
        let value = self.value(name)?;
        if let Expression::String(text) = value {
            return Some(text.to_string());
        }
        self.report_attribute(name, "is not a plain text", "write it in double quotes");
        None
    }

    /// A required string that must not be empty.
    pub fn required_string(&self, name: &str) -> Option<String> {
        let text = self.string(name);
        if self.body.get_attribute(name).is_none() {
            self.report_attribute(name, "is missing", &format!("add {name} = \"...\""));
        }
        text.filter(|text| {
            let has_content = !text.is_empty();
            if !has_content {
                self.report_attribute(name, "is empty", "give it a value");
            }
            has_content
        })
    }

    /// An optional string converted by `read`; a problem with `advice` if `read` returns `None`.
    fn parsed_string<T>(&self, name: &str, read: impl Fn(&str) -> Option<T>, advice: &str) -> Option<T> {
        let text = self.string(name)?;
        let value = read(&text);
        if value.is_none() {
            self.report_attribute(name, &format!("can't be read: '{text}'"), advice);
        }
        value
    }

    /// A duration such as `"250ms"`, `"3s"` or `"2m"`.
    pub fn duration(&self, name: &str, default: Duration) -> Duration {
        self.parsed_string(name, read_duration, "a time such as \"250ms\", \"3s\" or \"2m\" is allowed")
            .unwrap_or(default)
    }

    /// A size such as `"4MiB"`, in bytes and above 0. `units` has the bytes of each suffix; a plain number is in bytes.
    pub fn size(&self, name: &str, units: &[(&str, u64)], default: usize) -> usize {
        let read = |text: &str| {
            let (digits, unit) = units
                .iter()
                .find_map(|(unit, bytes)| Some((text.strip_suffix(unit)?, *bytes)))
                .unwrap_or((text, 1));
            usize::try_from(digits.trim().parse::<u64>().ok()?.checked_mul(unit)?)
                .ok()
                .filter(|size| *size > 0)
        };
        self.parsed_string(name, read, "a size such as \"64KiB\" or \"4MiB\" is allowed").unwrap_or(default)
    }

    /// A required socket address such as `"127.0.0.1:4080"`.
    pub fn address(&self, name: &str) -> Option<SocketAddr> {
        let text = self.required_string(name)?;
        let address = text.parse().ok();
        if address.is_none() {
            self.report_attribute(
                name,
                &format!("can't be read: '{text}'"),
                "an address with its port, such as \"127.0.0.1:4080\"",
            );
        }
        address
    }

    /// A number from `min` to `max`, both included; `default` where it is missing or invalid.
    pub fn number<T>(&self, name: &str, min: T, max: T, default: T) -> T
    where
        T: Copy + FromStr + PartialOrd + fmt::Display,
    {
        let Some(value) = self.value(name) else { return default };
        let text = match value {
            Expression::Number(number) => number.value().to_string(),
            _ => String::new(),
        };
        match text.parse::<T>() {
            Ok(number) if number >= min && number <= max => number,
            _ => {
                let advice = format!("a number from {min} to {max} is allowed");
                self.report_attribute(name, "is no such number", &advice);
                default
            }
        }
    }

    /// A boolean; `default` where it is missing or invalid.
    pub fn boolean(&self, name: &str, default: bool) -> bool {
        match self.value(name) {
            None => default,
            Some(Expression::Bool(flag)) => *flag.value(),
            Some(_) => {
                self.report_attribute(name, "is neither true nor false", "true or false is allowed");
                default
            }
        }
    }

    /// One of several named values; `default` where it is missing or invalid.
    pub fn choice<T: Copy>(&self, name: &str, choices: &[(&str, T)], default: T) -> T {
        let Some(text) = self.string(name) else { return default };
        if let Some((_, value)) = choices.iter().find(|(known, _)| *known == text) {
            return *value;
        }
        let known: Vec<&str> = choices.iter().map(|(known, _)| *known).collect();
        let advice = format!("one of these is allowed: {}", known.join(", "));
        self.report_attribute(name, &format!("is '{text}'"), &advice);
        default
    }

    /// A list of strings; empty where it is missing or invalid.
    pub fn string_list(&self, name: &str) -> Vec<String> {
        let Some(value) = self.value(name) else { return Vec::new() };
        let texts = value.as_array().map(|array| array.iter().map(|item| item.as_str()).collect::<Vec<_>>());
        match texts {
            Some(texts) if texts.iter().all(Option::is_some) => {
                texts.into_iter().flatten().map(str::to_owned).collect()
            }
            _ => {
                self.report_attribute(
                    name,
                    "is no list of texts",
                    "a list such as [\"a\", \"b\"] is allowed",
                );
                Vec::new()
            }
        }
    }

    /// The single block of this kind. More than one is a problem; so is a missing one, except that `rules` is optional.
    pub fn single_block(&self, kind: &'a str) -> Option<Block<'a>> {
        self.read_names.borrow_mut().insert(kind.to_owned());
        let mut blocks = self.body.get_blocks(kind);
        let first = blocks.next();
        if first.is_none() && kind != "rules" {
            self.report(0, kind, "is missing", &format!("add a block {kind} {{ ... }}"));
        }
        if let Some(second) = blocks.next() {
            let line = second.span().map_or(0, |span| self.source.line_at(span.start));
            self.report(line, kind, "stands twice", "keep one of the blocks");
        }
        first.map(|block| self.nested(kind, block))
    }

    /// All blocks of a kind with their labels. Each needs exactly one label, unique within the kind; others are problems
    /// and left out.
    pub fn labelled_blocks(&self, kind: &'a str) -> Vec<(String, Block<'a>)> {
        self.read_names.borrow_mut().insert(kind.to_owned());
        let mut found: Vec<(String, Block<'a>)> = Vec::new();
        for block in self.body.get_blocks(kind) {
            let line = block.span().map_or(0, |span| self.source.line_at(span.start));
            let [label] = &block.labels[..] else {
                self.report(line, kind, "needs one name", &format!("write {kind} \"name\" {{ ... }}"));
                continue;
            };
            let label = label.as_str().to_owned();
            if found.iter().any(|(other, _)| *other == label) {
                self.report(line, &format!("{kind} \"{label}\""), "stands twice", "give one another name");
                continue;
            }
            let inner = self.nested(&format!("{kind} \"{label}\""), block);
            found.push((label, inner));
        }
        found
    }

    /// A block inside this one; `name` is its last path component.
    fn nested(&self, name: &str, block: &'a hcl_edit::structure::Block) -> Block<'a> {
        let line = block.span().map_or(self.line, |span| self.source.line_at(span.start));
        Block {
            source: self.source,
            body: &block.body,
            path: self.field_path(name),
            line,
            read_names: RefCell::default(),
        }
    }

    /// Index of a name among those defined elsewhere in the file; a problem with `field` if it is not defined.
    pub fn index_of(&self, field: &str, name: &str, defined: &[String]) -> Option<usize> {
        let found = defined.iter().position(|other| other == name);
        if found.is_none() {
            let description = format!("names '{name}', which is not defined");
            self.report_attribute(field, &description, &format!("one of: {}", defined.join(", ")));
        }
        found
    }

    /// Reports every attribute and block that was never asked for. A misspelt name would otherwise be ignored and its
    /// default used. Call it after all fields of the block are read.
    pub fn report_unknown(&self) {
        let read_names = self.read_names.borrow();
        let allowed = || read_names.iter().cloned().collect::<Vec<_>>().join(", ");
        for attribute in self.body.attributes() {
            if !read_names.contains(attribute.key.as_str()) {
                let advice = format!("known here: {}", allowed());
                self.report_attribute(attribute.key.as_str(), "is not known", &advice);
            }
        }
        for block in self.body.blocks() {
            if !read_names.contains(block.ident.as_str()) {
                let line = block.span().map_or(0, |span| self.source.line_at(span.start));
                self.report(
                    line,
                    block.ident.as_str(),
                    "is not known",
                    &format!("known here: {}", allowed()),
                );
            }
        }
    }
}

/// A number with one of the units `ms`, `s`, `m` and `h`; not negative and below 1e9 seconds.
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
