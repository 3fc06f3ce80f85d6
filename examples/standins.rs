//! Runs one stand-in as a separate process; tests start this program.

fn main() -> std::io::Result<()> {
    standins::cli::main()
}
