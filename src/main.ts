/*
 * The program's entry point. It runs the command that the command line names and exits when the command ends, even if a
 * failed command has left something running.
 */
import { runCommandLine } from "./commands";
import { hasErrorCode } from "./errors";

// A reader such as head closes the pipe before it has read everything. The remaining output is then discarded without
// an error.
[process.stdout, process.stderr].forEach(stream => {
    stream.on("error", error => {
        if (!hasErrorCode(error, "EPIPE")) {
            throw error;
        }
    });
});

void runCommandLine(process.argv.slice(2)).then(exitCode => {
    process.exit(exitCode);
});
