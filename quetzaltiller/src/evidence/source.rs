//! Reads log lines from files and standard input.

use super::Line;
use std::io::{self, BufRead, BufReader};
use std::path::{Path, PathBuf};

/// File name that stands for standard input.
const STANDARD_INPUT: &str = "-";

/// Reads the events in `files`, or in standard input for `-` or if there are no files. A file has
/// the name of its entry VM; an error comes with the name of the file.
pub fn read(files: &[PathBuf]) -> Result<Vec<Line>, (String, io::Error)> {
    let standard_input = [PathBuf::from(STANDARD_INPUT)];
    let files = if files.is_empty() { &standard_input } else { files };
    let mut lines = Vec::new();
    for file in files {
        let with_name = |error| (file.display().to_string(), error);
        let reader: Box<dyn BufRead> = if file.as_path() == Path::new(STANDARD_INPUT) {
            Box::new(io::stdin().lock())
        } else {
            Box::new(BufReader::new(std::fs::File::open(file).map_err(with_name)?))
        };
        let vm = file.file_stem().map(|stem| stem.to_string_lossy().into_owned());
        let vm = vm.unwrap_or_default();
        for text in reader.split(b'\n') {
            let text = text.map_err(with_name)?;
            lines.extend(Line::parse(&vm, &String::from_utf8_lossy(&text)));
        }
    }
    Ok(lines)
}
