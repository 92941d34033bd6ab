/*
 * The way to start a background task.
 */
import { TaskName } from "../metrics";
import { detach } from "../runtime";
import { superviseTask } from "./superviseTask";
import { TaskContext } from "./TaskContext";

/**
 * Starts a background task, which runs until its first wait before this returns. If it has to end the process, its failure
 * reaches the last handler.
 * @param name - The task, which determines what happens after a failure.
 * @param run - Runs the task.
 * @param context - What the supervision depends on.
 */
export function startTask(name: TaskName, run: () => Promise<void>, context: TaskContext): void {
    detach(superviseTask(name, run, context));
}
