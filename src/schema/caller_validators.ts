/** Validator generated from schema/caller.yaml.
 * @module */

// @ts-nocheck: generated code
"use strict";
export const validate = validate20;
export default validate20;
const schema31 = {"$schema":"https://json-schema.org/draft/2020-12/schema","title":"PipelineCall","description":"Body of a caller's request to a pipeline.","type":"object","additionalProperties":false,"required":["input"],"properties":{"input":{"$ref":"#/$defs/PipelineInput"},"maxTokens":{"description":"Most tokens to generate, if less than the pipeline allows.","type":"integer","minimum":1},"stream":{"description":"Whether the answer comes as server-sent events.","type":"boolean"}},"$defs":{"PipelineInput":{"title":"PipelineInput","type":"object","additionalProperties":false,"required":["text"],"properties":{"text":{"description":"What the request is about, such as a history or a roster.","type":"string","minLength":1},"question":{"type":"string","minLength":1},"documents":{"description":"Documents of the caller's, beside those retrieved.","type":"array","maxItems":256,"items":{"type":"string"}}}}}};
const schema32 = {"title":"PipelineInput","type":"object","additionalProperties":false,"required":["text"],"properties":{"text":{"description":"What the request is about, such as a history or a roster.","type":"string","minLength":1},"question":{"type":"string","minLength":1},"documents":{"description":"Documents of the caller's, beside those retrieved.","type":"array","maxItems":256,"items":{"type":"string"}}}};

function validate20(data, {instancePath="", parentData, parentDataProperty, rootData=data, dynamicAnchors={}}={}){
let vErrors = null;
let errors = 0;
const evaluated0 = validate20.evaluated;
if(evaluated0.dynamicProps){
evaluated0.props = undefined;
}
if(evaluated0.dynamicItems){
evaluated0.items = undefined;
}
if(errors === 0){
if(data && typeof data == "object" && !Array.isArray(data)){
let missing0;
if((data.input === undefined) && (missing0 = "input")){
validate20.errors = [{instancePath,schemaPath:"#/required",keyword:"required",params:{missingProperty: missing0},message:"must have required property '"+missing0+"'",schema:schema31.required,parentSchema:schema31,data}];
return false;
}
else {
const _errs1 = errors;
for(const key0 in data){
if(!(((key0 === "input") || (key0 === "maxTokens")) || (key0 === "stream"))){
validate20.errors = [{instancePath,schemaPath:"#/additionalProperties",keyword:"additionalProperties",params:{additionalProperty: key0},message:"must NOT have additional properties",schema:false,parentSchema:schema31,data}];
return false;
break;
}
}
if(_errs1 === errors){
if(data.input !== undefined){
let data0 = data.input;
const _errs2 = errors;
const _errs3 = errors;
if(errors === _errs3){
if(data0 && typeof data0 == "object" && !Array.isArray(data0)){
let missing1;
if((data0.text === undefined) && (missing1 = "text")){
validate20.errors = [{instancePath:instancePath+"/input",schemaPath:"#/$defs/PipelineInput/required",keyword:"required",params:{missingProperty: missing1},message:"must have required property '"+missing1+"'",schema:schema32.required,parentSchema:schema32,data:data0}];
return false;
}
else {
const _errs5 = errors;
for(const key1 in data0){
if(!(((key1 === "text") || (key1 === "question")) || (key1 === "documents"))){
validate20.errors = [{instancePath:instancePath+"/input",schemaPath:"#/$defs/PipelineInput/additionalProperties",keyword:"additionalProperties",params:{additionalProperty: key1},message:"must NOT have additional properties",schema:false,parentSchema:schema32,data:data0}];
return false;
break;
}
}
if(_errs5 === errors){
if(data0.text !== undefined){
let data1 = data0.text;
const _errs6 = errors;
if(errors === _errs6){
if(typeof data1 === "string"){
if(data1.length < 1){
validate20.errors = [{instancePath:instancePath+"/input/text",schemaPath:"#/$defs/PipelineInput/properties/text/minLength",keyword:"minLength",params:{limit: 1},message:"must NOT have fewer than 1 characters",schema:1,parentSchema:schema32.properties.text,data:data1}];
return false;
}
}
else {
validate20.errors = [{instancePath:instancePath+"/input/text",schemaPath:"#/$defs/PipelineInput/properties/text/type",keyword:"type",params:{type: "string"},message:"must be string",schema:schema32.properties.text.type,parentSchema:schema32.properties.text,data:data1}];
return false;
}
}
var valid2 = _errs6 === errors;
}
else {
var valid2 = true;
}
if(valid2){
if(data0.question !== undefined){
let data2 = data0.question;
const _errs8 = errors;
if(errors === _errs8){
if(typeof data2 === "string"){
if(data2.length < 1){
validate20.errors = [{instancePath:instancePath+"/input/question",schemaPath:"#/$defs/PipelineInput/properties/question/minLength",keyword:"minLength",params:{limit: 1},message:"must NOT have fewer than 1 characters",schema:1,parentSchema:schema32.properties.question,data:data2}];
return false;
}
}
else {
validate20.errors = [{instancePath:instancePath+"/input/question",schemaPath:"#/$defs/PipelineInput/properties/question/type",keyword:"type",params:{type: "string"},message:"must be string",schema:schema32.properties.question.type,parentSchema:schema32.properties.question,data:data2}];
return false;
}
}
var valid2 = _errs8 === errors;
}
else {
var valid2 = true;
}
if(valid2){
if(data0.documents !== undefined){
let data3 = data0.documents;
const _errs10 = errors;
if(errors === _errs10){
if(Array.isArray(data3)){
if(data3.length > 256){
validate20.errors = [{instancePath:instancePath+"/input/documents",schemaPath:"#/$defs/PipelineInput/properties/documents/maxItems",keyword:"maxItems",params:{limit: 256},message:"must NOT have more than 256 items",schema:256,parentSchema:schema32.properties.documents,data:data3}];
return false;
}
else {
var valid3 = true;
const len0 = data3.length;
for(let i0=0; i0<len0; i0++){
let data4 = data3[i0];
const _errs12 = errors;
if(typeof data4 !== "string"){
validate20.errors = [{instancePath:instancePath+"/input/documents/" + i0,schemaPath:"#/$defs/PipelineInput/properties/documents/items/type",keyword:"type",params:{type: "string"},message:"must be string",schema:schema32.properties.documents.items.type,parentSchema:schema32.properties.documents.items,data:data4}];
return false;
}
var valid3 = _errs12 === errors;
if(!valid3){
break;
}
}
}
}
else {
validate20.errors = [{instancePath:instancePath+"/input/documents",schemaPath:"#/$defs/PipelineInput/properties/documents/type",keyword:"type",params:{type: "array"},message:"must be array",schema:schema32.properties.documents.type,parentSchema:schema32.properties.documents,data:data3}];
return false;
}
}
var valid2 = _errs10 === errors;
}
else {
var valid2 = true;
}
}
}
}
}
}
else {
validate20.errors = [{instancePath:instancePath+"/input",schemaPath:"#/$defs/PipelineInput/type",keyword:"type",params:{type: "object"},message:"must be object",schema:schema32.type,parentSchema:schema32,data:data0}];
return false;
}
}
var valid0 = _errs2 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.maxTokens !== undefined){
let data5 = data.maxTokens;
const _errs14 = errors;
if(!(((typeof data5 == "number") && (!(data5 % 1) && !isNaN(data5))) && (isFinite(data5)))){
validate20.errors = [{instancePath:instancePath+"/maxTokens",schemaPath:"#/properties/maxTokens/type",keyword:"type",params:{type: "integer"},message:"must be integer",schema:schema31.properties.maxTokens.type,parentSchema:schema31.properties.maxTokens,data:data5}];
return false;
}
if(errors === _errs14){
if((typeof data5 == "number") && (isFinite(data5))){
if(data5 < 1 || isNaN(data5)){
validate20.errors = [{instancePath:instancePath+"/maxTokens",schemaPath:"#/properties/maxTokens/minimum",keyword:"minimum",params:{comparison: ">=", limit: 1},message:"must be >= 1",schema:1,parentSchema:schema31.properties.maxTokens,data:data5}];
return false;
}
}
}
var valid0 = _errs14 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.stream !== undefined){
let data6 = data.stream;
const _errs16 = errors;
if(typeof data6 !== "boolean"){
validate20.errors = [{instancePath:instancePath+"/stream",schemaPath:"#/properties/stream/type",keyword:"type",params:{type: "boolean"},message:"must be boolean",schema:schema31.properties.stream.type,parentSchema:schema31.properties.stream,data:data6}];
return false;
}
var valid0 = _errs16 === errors;
}
else {
var valid0 = true;
}
}
}
}
}
}
else {
validate20.errors = [{instancePath,schemaPath:"#/type",keyword:"type",params:{type: "object"},message:"must be object",schema:schema31.type,parentSchema:schema31,data}];
return false;
}
}
validate20.errors = vErrors;
return errors === 0;
}
validate20.evaluated = {"props":true,"dynamicProps":false,"dynamicItems":false};

