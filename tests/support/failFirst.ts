/**
 * Wraps a function so that its first calls fail.
 * @param count - The number of calls that fail.
 * @param run - Called from then on.
 */
export function failFirst<TArguments extends readonly unknown[], TResult>(
    count: number,
    run: (...parameters: TArguments) => TResult,
): (...parameters: TArguments) => TResult {
    let remainingCount = count;
    return (...parameters) => {
        remainingCount -= 1;
        if (remainingCount >= 0) {
            throw new Error("broken");
        }
        return run(...parameters);
    };
}
