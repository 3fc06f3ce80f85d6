//! Plain-text tables.

/// Column separator.
const GAP: &str = "  ";

/// Prints a table with a header, each column as wide as its widest cell.
pub(crate) fn table<const N: usize>(head: [&str; N], rows: impl Iterator<Item = [String; N]>) {
    print!("{}", render(head, rows));
}

fn render<const N: usize>(head: [&str; N], rows: impl Iterator<Item = [String; N]>) -> String {
    let head = head.map(str::to_owned);
    let rows: Vec<[String; N]> = std::iter::once(head).chain(rows).collect();
    let width = |i: usize| rows.iter().map(|r| r[i].chars().count()).max().unwrap_or(0);
    let widths: [usize; N] = std::array::from_fn(width);
    let mut out = String::new();
    for row in &rows {
        let cells: Vec<String> = row
            .iter()
            .zip(widths)
            .map(|(cell, width)| format!("{cell:width$}"))
            .collect();
        out.push_str(cells.join(GAP).trim_end());
        out.push('\n');
    }
    out
}

/// Returns `text`, or a dash if it is empty.
pub(crate) fn or_dash(text: &str) -> String {
    if text.is_empty() {
        return "-".to_owned();
    }
    text.to_owned()
}

/// Formats a limit, where zero means none.
pub(crate) fn limit<T: PartialEq + Default + ToString>(value: T) -> String {
    if value == T::default() {
        return "none".to_owned();
    }
    value.to_string()
}

pub(crate) fn yes_no(value: bool) -> String {
    if value { "yes" } else { "no" }.to_owned()
}

#[cfg(test)]
#[path = "output_tests.rs"]
mod output_tests;
