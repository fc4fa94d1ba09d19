//! Small stand-ins for the platform under limpetspur, with fault switches.
