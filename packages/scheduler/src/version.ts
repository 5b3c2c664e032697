/** The product's version, as its manifest has it; kept here so that the bundle need not hold the whole manifest. */
export const VERSION = '0.1.0';
