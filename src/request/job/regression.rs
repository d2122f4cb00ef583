//! Ridge regression that forgets: linear least squares over recent samples, pulled towards a prior.

/// Weight of the prior of a coefficient: that of a handful of samples of a task that takes a tenth
/// of a worker.
const PRIOR_WEIGHT: f64 = 0.05;
/// Weight of the prior of the constant term, in samples.
const CONSTANT_WEIGHT: f64 = 2.0;
/// Share of the old samples' weight that stays with each new one; some 3,000 samples count, which is
/// half a minute of an image with a few dozen tasks.
const KEEP: f64 = 0.9997;

/// Samples and coefficients of one dependent variable. Index 0 is the constant term.
#[derive(Debug, Clone)]
pub struct Regression {
    /// Sums of products, row by row.
    products: Vec<f64>,
    /// Sums of products with the dependent variable.
    targets: Vec<f64>,
    priors: Vec<f64>,
    solved: Vec<f64>,
    is_solved: bool,
}

impl Regression {
    pub fn new(constant: f64) -> Self {
        Regression {
            products: vec![0.0],
            targets: vec![0.0],
            priors: vec![constant],
            solved: vec![constant],
            is_solved: true,
        }
    }

    /// Coefficients besides the constant.
    pub fn len(&self) -> usize {
        self.targets.len() - 1
    }

    /// Adds a coefficient; samples so far have a zero for it.
    pub fn add(&mut self, prior: f64) -> usize {
        let old = self.targets.len();
        let new = old + 1;
        let mut products = vec![0.0; new * new];
        for row in 0..old {
            products[row * new..row * new + old]
                .copy_from_slice(&self.products[row * old..(row + 1) * old]);
        }
        self.products = products;
        self.targets.push(0.0);
        self.priors.push(prior);
        self.solved.push(prior);
        old
    }

    /// Adds one sample; `values` has the index and value of each coefficient that is not zero.
    pub fn observe(&mut self, values: &[(usize, f64)], target: f64) {
        let size = self.targets.len();
        self.products.iter_mut().for_each(|sum| *sum *= KEEP);
        self.targets.iter_mut().for_each(|sum| *sum *= KEEP);
        let all = || values.iter().copied().chain([(0, 1.0)]);
        for (row, value) in all() {
            for (column, other) in all() {
                self.products[row * size + column] += value * other;
            }
            self.targets[row] += value * target;
        }
        self.is_solved = false;
    }

    /// Coefficient at `index`, as of the last `solve`.
    pub fn coefficient(&self, index: usize) -> f64 {
        self.solved[index]
    }

    /// Weight of the samples that tell something of the coefficient at `index`.
    pub fn information(&self, index: usize) -> f64 {
        self.products[index * self.targets.len() + index]
    }

    /// Computes the coefficients if there are new samples.
    pub fn solve(&mut self) {
        if self.is_solved {
            return;
        }
        self.is_solved = true;
        let size = self.targets.len();
        let mut matrix = self.products.clone();
        let mut right = self.targets.clone();
        for index in 0..size {
            let weight = if index == 0 {
                CONSTANT_WEIGHT
            } else {
                PRIOR_WEIGHT
            };
            matrix[index * size + index] += weight;
            right[index] += weight * self.priors[index];
        }
        eliminate(&mut matrix, &mut right, size);
        self.solved = right;
    }
}

/// Solves a symmetric positive definite system in place; the ridge keeps every pivot positive.
fn eliminate(matrix: &mut [f64], right: &mut [f64], size: usize) {
    for pivot in 0..size {
        let inverse = 1.0 / matrix[pivot * size + pivot];
        for row in pivot + 1..size {
            let factor = matrix[row * size + pivot] * inverse;
            if factor == 0.0 {
                continue;
            }
            for column in pivot..size {
                matrix[row * size + column] -= factor * matrix[pivot * size + column];
            }
            right[row] -= factor * right[pivot];
        }
    }
    for row in (0..size).rev() {
        let known: f64 = (row + 1..size)
            .map(|column| matrix[row * size + column] * right[column])
            .sum();
        right[row] = (right[row] - known) / matrix[row * size + row];
    }
}
