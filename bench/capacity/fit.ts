/**
 * Fits straight lines to measured points by least squares.
 */

/** A measured point. */
export type Point = {
	readonly x: number;
	readonly y: number;
};

/** A fitted line and its errors. */
export type LineFit = {
	readonly intercept: number;
	readonly slope: number;
	/** Largest residual, relative to the y of its point. */
	readonly worstResidual: number;
	/** Standard error of the slope; NaN with fewer than three points. */
	readonly slopeError: number;
	readonly points: readonly Point[];
};

function computeMean(values: readonly number[]): number {
	return values.reduce((sum, value) => sum + value, 0) / values.length;
}

/**
 * Computes the line with the least sum of weighted squared residuals.
 *
 * @param points - At least two points with different x.
 * @param weigh - Returns the weight of a point; equal weights if absent.
 * @returns The line and its errors.
 */
export function computeLine(points: readonly Point[], weigh: (point: Point) => number = () => 1): LineFit {
	const weights = points.map(point => weigh(point));
	const total = weights.reduce((sum, weight) => sum + weight, 0);
	const meanX = points.reduce((sum, {x}, index) => sum + (weights[index] * x), 0) / total;
	const meanY = points.reduce((sum, {y}, index) => sum + (weights[index] * y), 0) / total;
	const variationX = points.reduce((sum, {x}, index) => sum + (weights[index] * ((x - meanX) ** 2)), 0);
	const slope = points.reduce((sum, {x, y}, index) => sum + (weights[index] * (x - meanX) * (y - meanY)), 0) / variationX;
	const intercept = meanY - (slope * meanX);
	const residuals = points.map(({x, y}) => y - intercept - (slope * x));
	const squares = residuals.reduce((sum, residual, index) => sum + (weights[index] * residual * residual), 0);
	return {
		intercept,
		slope,
		worstResidual: Math.max(...residuals.map((residual, index) => Math.abs(residual / points[index].y))),
		slopeError: points.length > 2 ? Math.sqrt(squares / (points.length - 2) / variationX) : Number.NaN,
		points,
	};
}

/**
 * Computes the line with the least sum of squared relative residuals, for points that span orders of magnitude.
 *
 * @param points - Points with positive y.
 * @returns The line and its errors.
 */
export function computeRelativeLine(points: readonly Point[]): LineFit {
	return computeLine(points, ({y}) => 1 / (y * y));
}

/**
 * Evaluates a line at an x.
 *
 * @param fit - The line.
 * @param x - The x.
 * @returns The y of the line.
 */
export function computeAt(fit: LineFit, x: number): number {
	return fit.intercept + (fit.slope * x);
}

/**
 * Computes the mean and the largest relative deviation from it.
 *
 * @param values - Measured values.
 * @returns Both.
 */
export function computeDeviation(values: readonly number[]): {readonly mean: number; readonly worstResidual: number} {
	const mean = computeMean(values);
	return {mean, worstResidual: Math.max(...values.map(value => Math.abs(value - mean) / mean))};
}
