/*
 * Divides a capacity into max-min fair shares, limited by demand.
 */

/**
 * Divides a capacity equally: nobody gets more than its demand, and what one does not need is divided among the others.
 * @param demands - The demand of each participant.
 * @param capacity - The capacity to divide, in the unit of the demands.
 * @returns The fair share of each participant, in the order of the demands.
 */
export function getMaxMinFairShares(demands: readonly number[], capacity: number): readonly number[] {
    const shares = new Array<number>(demands.length).fill(0);
    const order = [...demands.keys()].sort((first, second) => demands[first]! - demands[second]!);
    let remaining = Math.min(capacity, demands.reduce((total, demand) => total + demand, 0));
    for (const [rank, index] of order.entries()) {
        const share = Math.min(demands[index]!, remaining / (order.length - rank));
        shares[index] = share;
        remaining -= share;
    }
    return shares;
}
