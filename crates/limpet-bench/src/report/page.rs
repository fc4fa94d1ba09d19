use super::{chart::charts, draw::draw};
use crate::record::Record;

const PAGE_HEAD: &str = "<!doctype html>\n<html lang=\"en\">\n<meta \
                    charset=\"utf-8\">\n<title>limpetspur benches</title>\n\
                    <style>body{font-family:sans-serif;margin:2em}\
                    section{display:inline-block;margin:0 1em 1em 0}\
                    h2{font-size:1em}td,th{padding:.2em .8em;\
                    text-align:left}</style>\n<h1>limpetspur benches</h1>\n";

/// Returns the HTML page of the current run, with the values of a saved run
/// for comparison. `saved` may be empty.
///
/// # Errors
///
/// The plotting library can't draw a chart.
pub fn render(current: &[Record], saved: &[Record]) -> eyre::Result<String> {
    let mut page = PAGE_HEAD.to_owned();
    page.push_str(&missed_bounds(current));
    for chart in charts(current, saved) {
        let title = escape(&chart.title);
        let svg = draw(&chart)?;
        page.push_str(&format!("<section><h2>{title}</h2>\n{svg}</section>"));
    }
    page.push_str("</html>\n");
    Ok(page)
}

/// Returns an HTML table of the values that miss their bound, or a sentence
/// that none does.
fn missed_bounds(records: &[Record]) -> String {
    let rows: String = records
        .iter()
        .filter(|record| !record.ok)
        .map(|record| {
            let limit = record.bound.map_or(f64::NAN, |bound| bound.limit());
            format!(
                "<tr><td>{}<td>{}<td>{}<td>{} {}<td>{limit}\n",
                escape(&record.bench),
                escape(&record.case),
                escape(&record.metric),
                record.value,
                escape(&record.unit),
            )
        })
        .collect();
    if rows.is_empty() {
        return "<p>Every bound is kept.</p>\n".to_owned();
    }
    format!(
        "<table><caption>Bounds that are missed</caption>\n<tr><th>bench\
         <th>case<th>metric<th>value<th>bound\n{rows}</table>\n"
    )
}

/// Escapes text for use in HTML element content.
fn escape(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;").replace('>', "&gt;")
}
