//! Prints the `OpenAPI` page.

fn main() {
    println!("{:#}", lynxwheel_api::openapi());
}
