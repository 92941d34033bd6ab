/*
 * The program's entry point: hands the command line to its commands, and ends with the command, whatever a failed one
 * has left running.
 */
import { runCommandLine } from "./commands";
import { hasErrorCode } from "./errors";

// A reader that has seen enough, such as head, closes the pipe; what is still to be written is lost then, no more.
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
