//! Output of a run: histogram files, the summary file, the printed table and the
//! comparison of two runs.

use std::{fs, io, path::Path};

use comfy_table::{Table, presets::UTF8_BORDERS_ONLY};
use hdrhistogram::{
    Histogram,
    serialization::{Serializer, V2Serializer},
};
use serde::{Deserialize, Serialize};

use super::tally::{Endings, Histograms, Tally};

/// Name of the summary file in the folder of a run.
const SUMMARY_FILE: &str = "summary.json";

/// Results of a run with the parameters that produced them.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Summary {
    /// Command line of the run.
    pub command: Box<str>,
    /// Seed of the traffic.
    pub seed: u64,
    /// Arrival rate, in requests per second; not scaled back.
    pub rate: f64,
    /// Factor by which measured times were multiplied to scale them back.
    pub time_scale: u32,
    /// Divisor of the lengths of long reports and of the notes in their prompts.
    pub length_scale: u64,
    /// Number of sequences that the engines preempted and recomputed, over all engines.
    pub preemptions: u64,
    /// Tokens per second that callers received before the arrivals ended; not scaled
    /// back.
    pub tokens_per_second: f64,
    /// Tally of the whole run.
    pub whole: Tally,
    /// Tallies of the parts of the run between zone events.
    pub parts: Vec<Tally>,
}

/// Writes the histograms and the summary into a folder.
pub(crate) fn write(out: &Path, summary: &Summary, histograms: &Histograms) -> io::Result<()> {
    fs::create_dir_all(out)?;
    let text = serde_json::to_string_pretty(summary)?;
    fs::write(out.join(SUMMARY_FILE), text + "\n")?;
    write_histogram(
        &out.join("first_token_long.hdr"),
        &histograms.first_token_long,
    )?;
    write_histogram(
        &out.join("first_token_short.hdr"),
        &histograms.first_token_short,
    )?;
    write_histogram(&out.join("gap.hdr"), &histograms.gap)
}

fn write_histogram(path: &Path, histogram: &Histogram<u64>) -> io::Result<()> {
    let mut bytes = Vec::new();
    let written = V2Serializer::new().serialize(histogram, &mut bytes);
    written.map_err(|e| io::Error::other(format!("{e:?}")))?;
    fs::write(path, bytes)
}

/// Reads the summary of an earlier run.
///
/// # Errors
/// Returns an error if the file cannot be read or does not hold a summary.
pub fn read_summary(folder: &Path) -> io::Result<Summary> {
    let text = fs::read(folder.join(SUMMARY_FILE))?;
    Ok(serde_json::from_slice(&text)?)
}

/// Returns the figures of a tally with their names.
fn tally_figures(tally: &Tally) -> Vec<(String, f64)> {
    let mut figures = vec![
        (
            "first token, long, p50 ms".into(),
            tally.first_token_long.p50,
        ),
        (
            "first token, long, p95 ms".into(),
            tally.first_token_long.p95,
        ),
        (
            "first token, long, p99 ms".into(),
            tally.first_token_long.p99,
        ),
        (
            "first token, short, p50 ms".into(),
            tally.first_token_short.p50,
        ),
        (
            "first token, short, p95 ms".into(),
            tally.first_token_short.p95,
        ),
        (
            "first token, short, p99 ms".into(),
            tally.first_token_short.p99,
        ),
        ("gap p50 ms".into(), tally.gap.p50),
        ("gap p99 ms".into(), tally.gap.p99),
        ("stall ms per 1000 tokens".into(), tally.stall_ms_per_1000),
        ("share of streams stalled".into(), tally.stalled_streams),
    ];
    for (request_kind, endings) in &tally.kinds {
        let counts = [
            ("offered", endings.offered),
            ("whole", endings.whole),
            ("cut", endings.cut),
            ("lost", endings.lost),
            ("doubled or wrong", endings.wrong),
        ];
        figures.extend(counts.map(|(name, n)| (format!("{request_kind} {name}"), count_to_f64(n))));
        let refused = endings.refused.iter();
        figures.extend(refused.map(|(refusal, n)| {
            (
                format!("{request_kind} refused {refusal}"),
                count_to_f64(*n),
            )
        }));
    }
    figures
}

fn count_to_f64(count: u64) -> f64 {
    f64::from(u32::try_from(count).unwrap_or(u32::MAX))
}

fn run_figures(summary: &Summary) -> Vec<(String, f64)> {
    let mut all = vec![
        ("preemptions".into(), count_to_f64(summary.preemptions)),
        ("tokens per second".into(), summary.tokens_per_second),
    ];
    all.extend(tally_figures(&summary.whole));
    all
}

/// Returns the figures of a run as a table, with a column for each part.
#[must_use]
pub fn table(summary: &Summary) -> String {
    let mut table = Table::new();
    table.load_style(UTF8_BORDERS_ONLY);
    let mut header = vec!["figure".to_owned(), "run".to_owned()];
    header.extend((1..=summary.parts.len()).map(|part| format!("part {part}")));
    table.set_header(header);
    let parts: Vec<_> = summary.parts.iter().map(tally_figures).collect();
    for (name, value) in run_figures(summary) {
        let mut row = vec![name.clone(), format!("{value:.2}")];
        row.extend(parts.iter().map(|part| value_of(part, &name)));
        table.add_row(row);
    }
    format!(
        "times x{} (scaled back), lengths of reports 1/{}, seed {}, {} requests/s\n{table}\n{}",
        summary.time_scale,
        summary.length_scale,
        summary.seed,
        summary.rate,
        customers_line(&summary.whole)
    )
}

fn value_of(figures: &[(String, f64)], name: &str) -> String {
    let found = figures.iter().find(|(n, _)| n == name);
    found.map_or_else(|| "-".into(), |(_, value)| format!("{value:.2}"))
}

fn customers_line(tally: &Tally) -> String {
    let line = |(customer, endings): (&usize, &Endings)| {
        let (whole, offered) = (endings.whole, endings.offered);
        format!("{customer}:{whole}/{offered}")
    };
    let customers: Vec<String> = tally.customers.iter().map(line).collect();
    format!("whole of offered by customer: {}", customers.join(" "))
}

/// Returns the figures of two runs side by side, with their ratios.
#[must_use]
pub fn compare(before: &Summary, after: &Summary) -> String {
    let mut table = Table::new();
    table.load_style(UTF8_BORDERS_ONLY);
    table.set_header(["figure", "before", "after", "ratio"]);
    let (old, new) = (run_figures(before), run_figures(after));
    for (name, old_value) in &old {
        let new_value = new.iter().find(|(n, _)| n == name).map_or(0.0, |(_, v)| *v);
        table.add_row([
            name.clone(),
            format!("{old_value:.2}"),
            format!("{new_value:.2}"),
            ratio(*old_value, new_value),
        ]);
    }
    for (name, new_value) in &new {
        if old.iter().all(|(n, _)| n != name) {
            table.add_row([
                name.clone(),
                "0.00".into(),
                format!("{new_value:.2}"),
                ratio(0.0, *new_value),
            ]);
        }
    }
    format!(
        "before: {}\nafter: {}\n{table}",
        before.command, after.command
    )
}

fn ratio(old_value: f64, new_value: f64) -> String {
    if old_value > 0.0 {
        format!("{:.2}", new_value / old_value)
    } else {
        "-".into()
    }
}
