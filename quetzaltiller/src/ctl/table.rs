//! Text tables for terminals.

use std::fmt;

/// Rows of text under a header row, with aligned columns.
#[derive(Clone, Debug, Default)]
pub struct Table {
    rows: Vec<Vec<String>>,
}

impl Table {
    /// Creates a table with these column headers.
    pub fn new(header: &[&str]) -> Self {
        Self { rows: vec![header.iter().map(ToString::to_string).collect()] }
    }

    /// Adds a row.
    pub fn push(&mut self, row: impl IntoIterator<Item = String>) {
        self.rows.push(row.into_iter().collect());
    }

    fn width(&self, column: usize) -> usize {
        let cells = self.rows.iter().filter_map(|row| row.get(column));
        cells.map(|cell| cell.chars().count()).max().unwrap_or_default()
    }
}

impl fmt::Display for Table {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for row in &self.rows {
            let cells = row.iter().enumerate().map(|(column, cell)| {
                let width = self.width(column);
                format!("{cell:<width$}")
            });
            writeln!(f, "{}", cells.collect::<Vec<_>>().join("  ").trim_end())?;
        }
        Ok(())
    }
}
