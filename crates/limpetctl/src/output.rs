use std::io::{self, Write};

use limpet_core::command::CommandAnswer;

use crate::{
    Options, OutputFormat, TableOptions, json::write_json, table::write_table,
};

/// Prints answers on the standard output in the format of the options.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Output {
    format: OutputFormat,
    table: TableOptions,
}

impl Output {
    /// Returns an output with the format and table width of `options`.
    pub(crate) fn new(options: &Options) -> Output {
        let table = TableOptions::new();
        Output {
            format: options.output,
            table: match options.width {
                Some(width) => table.width(width),
                None => table,
            },
        }
    }

    /// Prints an answer and flushes the standard output.
    pub(crate) fn print(&self, answer: &CommandAnswer) -> io::Result<()> {
        let mut out = io::stdout().lock();
        match self.format {
            OutputFormat::Table => write_table(answer, self.table, &mut out),
            OutputFormat::Json => write_json(answer, &mut out),
        }?;
        out.flush()
    }
}
