/*
 * Loaded before a program, in which it fails when a line is read, as a listener or a promise of the program would.
 */
import { detach } from "../../../src/runtime";

process.stdin.on("data", data => {
    if (data.toString().startsWith("reject")) {
        detach(Promise.reject(new Error("a promise broke")));
        return;
    }
    throw new Error("a listener broke");
});
