//! Tables for people.

use std::fmt;

/// Rows of text under a head, aligned by column.
#[derive(Clone, Debug, Default)]
pub struct Table {
    rows: Vec<Vec<String>>,
}

impl Table {
    /// A table with these column heads.
    pub fn new(head: &[&str]) -> Self {
        Self { rows: vec![head.iter().map(ToString::to_string).collect()] }
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
