use super::{chart::charts, draw::draw};
use crate::record::Record;

const HEAD: &str = "<!doctype html>\n<html lang=\"en\">\n<meta \
                    charset=\"utf-8\">\n<title>limpetspur benches</title>\n\
                    <style>body{font-family:sans-serif;margin:2em}\
                    section{display:inline-block;margin:0 1em 1em 0}\
                    h2{font-size:1em}td,th{padding:.2em .8em;\
                    text-align:left}</style>\n<h1>limpetspur benches</h1>\n";

/// Returns the page for a run, beside a saved one.
///
/// # Errors
///
/// The plotting library could not draw a chart.
pub fn render(current: &[Record], saved: &[Record]) -> eyre::Result<String> {
    let mut page = HEAD.to_owned();
    page.push_str(&misses(current));
    for chart in charts(current, saved) {
        let title = escape(&chart.title);
        let svg = draw(&chart)?;
        page.push_str(&format!("<section><h2>{title}</h2>\n{svg}</section>"));
    }
    page.push_str("</html>\n");
    Ok(page)
}

/// Returns the table of the values that miss their bound.
fn misses(records: &[Record]) -> String {
    let rows: String = records
        .iter()
        .filter(|record| !record.ok)
        .map(|record| {
            let edge = record.bound.map_or(f64::NAN, |bound| bound.edge());
            format!(
                "<tr><td>{}<td>{}<td>{}<td>{} {}<td>{edge}\n",
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

fn escape(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;").replace('>', "&gt;")
}
