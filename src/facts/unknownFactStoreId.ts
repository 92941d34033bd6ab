/*
 * The id of a store that an entry process does not know yet.
 */

/** Differs from the id of any store. */
export const unknownFactStoreId = "-";
