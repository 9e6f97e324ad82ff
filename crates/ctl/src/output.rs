//! What the program prints.

use std::io::Write;

use serde::Serialize;

use crate::Error;

/// Where results and notes go.
pub struct Output<'a> {
    /// Whether results are JSON.
    pub is_json: bool,
    /// Results.
    pub results: &'a mut (dyn Write + Send),
    /// Notes for people, such as the id of a change about to be sent.
    pub notes: &'a mut (dyn Write + Send),
}

impl Output<'_> {
    /// Prints a value as JSON.
    pub fn json(&mut self, value: &impl Serialize) -> Result<(), Error> {
        let text = serde_json::to_string_pretty(value).map_err(|error| failed(&error))?;
        self.line(&text)
    }

    /// Prints a line of the result.
    pub fn line(&mut self, line: &str) -> Result<(), Error> {
        writeln!(self.results, "{line}").map_err(|error| failed(&error))
    }

    /// Prints a note.
    pub fn note(&mut self, line: &str) -> Result<(), Error> {
        writeln!(self.notes, "{line}").map_err(|error| failed(&error))
    }

    /// Prints rows as JSON, or as a table with these column titles.
    pub fn table<T: Serialize>(
        &mut self,
        rows: &[T],
        titles: &[&str],
        cells: impl Fn(&T) -> Vec<String>,
    ) -> Result<(), Error> {
        if self.is_json {
            return self.json(&rows);
        }
        let titles = titles.iter().map(|title| (*title).to_owned()).collect();
        let lines: Vec<Vec<String>> = std::iter::once(titles)
            .chain(rows.iter().map(cells))
            .collect();
        let widths = widths(&lines);
        for line in &lines {
            let padded: Vec<String> = line
                .iter()
                .zip(&widths)
                .map(|(cell, width)| format!("{cell:width$}"))
                .collect();
            self.line(padded.join("  ").trim_end())?;
        }
        Ok(())
    }
}

fn widths(lines: &[Vec<String>]) -> Vec<usize> {
    let columns = lines.first().map_or(0, Vec::len);
    (0..columns)
        .map(|column| {
            let cells = lines.iter().filter_map(|line| line.get(column));
            cells.map(|cell| cell.chars().count()).max().unwrap_or(0)
        })
        .collect()
}

fn failed(error: &dyn std::error::Error) -> Error {
    Error::Output {
        why: error.to_string(),
    }
}
