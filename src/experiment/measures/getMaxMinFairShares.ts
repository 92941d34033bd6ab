/*
 * Fair shares of a capacity, limited by demand.
 */

/**
 * Shares a capacity among equals: nobody gets more than it asks for, and what one leaves goes to the others.
 * @param demands - What each asks for.
 * @param capacity - What there is to share.
 * @returns What each is entitled to.
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
