//! Ridge regression with exponential forgetting: linear least squares in which older samples weigh
//! less and the coefficients are drawn towards a prior.

/// Weight of the prior of a coefficient: as much as five samples of a task that takes a tenth of a
/// worker.
const PRIOR_WEIGHT: f64 = 0.05;
/// Weight of the prior of the constant term, in samples.
const CONSTANT_PRIOR_WEIGHT: f64 = 2.0;
/// Factor by which each new sample reduces the weight of the old ones. The newest 3,000 or so
/// count, which is half a minute for an image with a few dozen tasks.
const FORGETTING_FACTOR: f64 = 0.9997;

/// Sums over the samples, and the coefficients, of a linear model. Index 0 is the constant term.
#[derive(Debug, Clone)]
pub struct Regression {
    /// Sums of the products of two independent variables: a square matrix, row by row.
    products: Vec<f64>,
    /// Sums of the products of an independent variable and the dependent one.
    target_products: Vec<f64>,
    priors: Vec<f64>,
    /// Coefficients as of the last `solve`.
    coefficients: Vec<f64>,
    is_solved: bool,
}

impl Regression {
    pub fn new(constant: f64) -> Self {
        Regression {
            products: vec![0.0],
            target_products: vec![0.0],
            priors: vec![constant],
            coefficients: vec![constant],
            is_solved: true,
        }
    }

    /// Number of coefficients without the constant term.
    pub fn len(&self) -> usize {
        self.target_products.len() - 1
    }

    /// Adds a coefficient and returns its index. Earlier samples count as having a zero for it.
    pub fn add(&mut self, prior: f64) -> usize {
        let old = self.target_products.len();
        let new = old + 1;
        let mut products = vec![0.0; new * new];
        for row in 0..old {
            products[row * new..row * new + old]
                .copy_from_slice(&self.products[row * old..(row + 1) * old]);
        }
        self.products = products;
        self.target_products.push(0.0);
        self.priors.push(prior);
        self.coefficients.push(prior);
        old
    }

    /// Adds one sample; `values` holds the index and value of each independent variable that is not
    /// zero.
    pub fn observe(&mut self, values: &[(usize, f64)], target: f64) {
        let size = self.target_products.len();
        self.products
            .iter_mut()
            .for_each(|sum| *sum *= FORGETTING_FACTOR);
        self.target_products
            .iter_mut()
            .for_each(|sum| *sum *= FORGETTING_FACTOR);
        let all = || values.iter().copied().chain([(0, 1.0)]);
        for (row, value) in all() {
            for (column, other) in all() {
                self.products[row * size + column] += value * other;
            }
            self.target_products[row] += value * target;
        }
        self.is_solved = false;
    }

    /// Adds samples of the given weight that show `coefficient` at `index`.
    pub fn preset(&mut self, index: usize, coefficient: f64, weight: f64) {
        let size = self.target_products.len();
        self.products[index * size + index] += weight;
        self.target_products[index] += weight * coefficient;
        self.is_solved = false;
    }

    /// Coefficient at `index`, as of the last `solve`.
    pub fn coefficient(&self, index: usize) -> f64 {
        self.coefficients[index]
    }

    /// Weight of the samples that carry information on the coefficient at `index`: the sum of the
    /// squares of their values.
    pub fn information(&self, index: usize) -> f64 {
        self.products[index * self.target_products.len() + index]
    }

    /// Computes the coefficients if there are new samples.
    pub fn solve(&mut self) {
        if self.is_solved {
            return;
        }
        self.is_solved = true;
        let size = self.target_products.len();
        let mut matrix = self.products.clone();
        let mut right_side = self.target_products.clone();
        for index in 0..size {
            let weight = if index == 0 {
                CONSTANT_PRIOR_WEIGHT
            } else {
                PRIOR_WEIGHT
            };
            matrix[index * size + index] += weight;
            right_side[index] += weight * self.priors[index];
        }
        eliminate(&mut matrix, &mut right_side, size);
        self.coefficients = right_side;
    }
}

/// Solves a symmetric positive definite system in place by Gaussian elimination. The weights of the
/// priors keep every pivot positive.
fn eliminate(matrix: &mut [f64], right_side: &mut [f64], size: usize) {
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
            right_side[row] -= factor * right_side[pivot];
        }
    }
    for row in (0..size).rev() {
        let known: f64 = (row + 1..size)
            .map(|column| matrix[row * size + column] * right_side[column])
            .sum();
        right_side[row] = (right_side[row] - known) / matrix[row * size + row];
    }
}
